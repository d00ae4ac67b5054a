package elmsail.rpc.messages;

import io.protostuff.Tag;

/** The answer to prepare, accept and read. */
public final class VoteResponse {
  public static final int OK = 0;

  /** A higher ballot was promised: {@code promised}. */
  public static final int BALLOT_TOO_LOW = 1;

  /** The ask's voter set is old: {@code seating} is newer. */
  public static final int STALE_VOTER_SET = 2;

  /** Lost its memory, or holds no voter slot. */
  public static final int NOT_A_VOTER = 3;

  /** The views refuse this value here (its waiting tokens are not on this count). */
  public static final int NOT_ADMITTED = 4;

  @Tag(1)
  public int code;

  @Tag(2)
  public Ballot promised = new Ballot();

  @Tag(3)
  public Ballot accepted = new Ballot();

  /** Null: none, or the one accepted at {@code known}. */
  @Tag(4)
  public byte[] value;

  @Tag(5)
  public VoterSet voterSet = new VoterSet();

  /** What the keeper of the views has to tell with a promise (the count); null or its bytes. */
  @Tag(6)
  public byte[] sideEffect;

  /**
   * What was accepted was copied from another voter slot and not voted for here: it counts as
   * found, but not towards a majority that took it.
   */
  @Tag(7)
  public boolean fromStateTransfer;
}
