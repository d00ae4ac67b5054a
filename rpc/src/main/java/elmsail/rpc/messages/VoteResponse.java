package elmsail.rpc.messages;

/** The answer to prepare, accept and read. */
public final class VoteResponse {
  public static final int DONE = 0;

  /** A higher ballot was promised: {@code promised}. */
  public static final int OUTBID = 1;

  /** The ask's voter set is old: {@code seating} is newer. */
  public static final int OLD_SEATING = 2;

  /** Lost its memory, or holds no voter slot. */
  public static final int NOT_SEATED = 3;

  /** The views refuse this value here (its waiting tokens are not on this count). */
  public static final int NOT_ADMITTED = 4;

  public int code;
  public Ballot promised = new Ballot();
  public Ballot accepted = new Ballot();

  /** Null: none, or the one accepted at {@code known}. */
  public byte[] value;

  public VoterSet voterSet = new VoterSet();

  /** What the keeper of the views has to tell with a promise (the count); null or its bytes. */
  public byte[] note;

  /**
   * What was accepted was copied from another voter slot and not voted for here: it counts as
   * found, but not towards a majority that took it.
   */
  public boolean copied;
}
