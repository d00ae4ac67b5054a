package elmsail.rpc.messages;

import io.protostuff.Tag;

/** The number of a proposal, ordered by round and then by proposer; round 0 stands for none. */
public final class Ballot {
  @Tag(1)
  public long round;

  /** Breaks ties between proposers of the same round. */
  @Tag(2)
  public long proposerId;
}
