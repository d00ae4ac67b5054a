package elmsail.inner.words;

/** What was accepted last at a key; the value is left out if it was accepted at {@code known}. */
public final class ReadAsk {
  public String set = "";
  public String key = "";
  public Ballot known = new Ballot();
  public Seating seating = new Seating();
  /** Only the ballot is wanted, never the value. */
  public boolean bare;
}
