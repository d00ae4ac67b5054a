package elmsail.inner.words;

/** A process with a new life, or a new one, takes a seat: acknowledged only once it is on disk. */
public final class ClaimAsk {
  public String set = "";
  public int seat;
  public Seat holder = new Seat();
}
