package elmsail.rpc.messages;

import io.protostuff.Tag;

/** The response of a voter to a prepare, an accept or a read. */
public final class VoteResponse {
  /** The voter did what was asked. */
  public static final int OK = 0;

  /** A higher ballot was promised: {@link #promised}. Retry above it. */
  public static final int BALLOT_TOO_LOW = 1;

  /** The voter set of the request is old: {@link #voterSet} is newer. Retry under it. */
  public static final int STALE_VOTER_SET = 2;

  /** The receiver lost its durable state, or holds no voter slot. */
  public static final int NOT_A_VOTER = 3;

  /** The voter's listener does not admit the value (its waiting tokens are not reserved here). */
  public static final int NOT_ADMITTED = 4;

  @Tag(1)
  public int code;

  @Tag(2)
  public Ballot promised = new Ballot();

  @Tag(3)
  public Ballot accepted = new Ballot();

  /** Null if nothing was accepted, or if it was accepted at the ballot known to the caller. */
  @Tag(4)
  public byte[] value;

  @Tag(5)
  public VoterSet voterSet = new VoterSet();

  /** What the voter's listener adds to a promise (the count of waiting tokens); may be null. */
  @Tag(6)
  public byte[] sideEffect;

  /**
   * Whether the accepted value came by state transfer: it was observed, but is no vote of this
   * voter and does not count towards a majority that accepted it.
   */
  @Tag(7)
  public boolean fromStateTransfer;
}
