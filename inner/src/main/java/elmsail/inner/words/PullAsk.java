package elmsail.inner.words;

/** Who asks, and what it has: held open until something is newer, or the wait is over. */
public final class PullAsk {
  public String station = "";
  public String address = "";
  public String zone = "";
  /** "clerk", "vault" or "notary". */
  public String role = "";
  public long life;
  /** A vault's: whether it holds a seat and has caught up; the seating it knows. */
  public boolean seated;
  public boolean emptied;
  public Seating shelf = new Seating();
  /** Versions known, one for each source. */
  public long edition;
  public long listEpoch;
  public long listVersion;
  public long rosterVersion;
  public long waitMs;
}
