package elmsail.inner.words;

/** The answer to prepare, accept and read. */
public final class VoteTold {
  public static final int DONE = 0;
  /** A higher ballot was promised: {@code promised}. */
  public static final int OUTBID = 1;
  /** The ask's seating is old: {@code seating} is newer. */
  public static final int OLD_SEATING = 2;
  /** Lost its memory, or holds no seat. */
  public static final int NOT_SEATED = 3;
  /** The views refuse this value here (its waiting tokens are not on this count). */
  public static final int NOT_ADMITTED = 4;
  public int code;
  public Ballot promised = new Ballot();
  public Ballot accepted = new Ballot();
  /** Null: none, or the one accepted at {@code known}. */
  public byte[] value;
  public Seating seating = new Seating();
  /** What the keeper of the views has to tell with a promise (the count); null or its bytes. */
  public byte[] note;
  /**
   * What was accepted was copied from another seat and not voted for here: it counts as found, but not
   * towards a majority that took it.
   */
  public boolean copied;
}
