package elmsail.rpc.messages;

import io.protostuff.Tag;

/** An acceptor's response to prepare, accept and read. */
public final class VoteResponse {
  /** The promise was given, the value accepted, or the state read. */
  public static final int OK = 0;

  /** A higher ballot was promised: {@link #promised}. */
  public static final int BALLOT_TOO_LOW = 1;

  /** The request's voter set is older than the acceptor's, {@link #voterSet}. */
  public static final int STALE_VOTER_SET = 2;

  /** The responder has lost its data, or holds no voter slot. */
  public static final int NOT_A_VOTER = 3;

  /** The acceptor's side-effect handler rejects the change, as its quota is exceeded here. */
  public static final int NOT_ADMITTED = 4;

  /** One of the constants above. */
  @Tag(1)
  public int code;

  /** The highest ballot promised for the key. */
  @Tag(2)
  public Ballot promised = new Ballot();

  /** The ballot of {@link #value}; round 0 if none was accepted. */
  @Tag(3)
  public Ballot accepted = new Ballot();

  /** The value accepted last; null if none was, or it was accepted under the known ballot. */
  @Tag(4)
  public byte[] value;

  /** The acceptor's voter set if it differs from the requester's; else empty. */
  @Tag(5)
  public VoterSet voterSet = new VoterSet();

  /** What the side-effect handler returns with a promise; null if nothing. */
  @Tag(6)
  public byte[] sideEffect;

  /**
   * What was accepted was copied from another voter and not voted for here: it is a known value,
   * but does not count towards the majority that accepted it.
   */
  @Tag(7)
  public boolean fromStateTransfer;
}
