package willowdoor.lab.check;

/** Something that the records show and that must not be: when, and what, in a sentence. */
public record Finding(String checker, long atUs, String what) {

  @Override
  public String toString() {
    return String.format("%s at %.3f s: %s", checker, atUs / 1e6, what);
  }
}
