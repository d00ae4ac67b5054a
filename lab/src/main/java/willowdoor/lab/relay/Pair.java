package willowdoor.lab.relay;

/** One way between two parties. */
public record Pair(String from, String to) {

  public Pair back() {
    return new Pair(to, from);
  }
}
