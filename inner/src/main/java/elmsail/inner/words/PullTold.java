package elmsail.inner.words;

/** What is newer; a null part has not changed. */
public final class PullTold {
  public long edition;
  /** The configuration as the operator sent it, decided; null if not newer. */
  public byte[] timetable;
  public long listEpoch;
  public long listVersion;
  /** The servers' list, whole, as JSON entries of the carrier; null if not newer. */
  public byte[] servers;
  /** How old that list is, in ms; -1: there is none. */
  public long listAgeMs = -1;
  public long rosterVersion;
  /** Null if not newer. */
  public Roster roster;
}
