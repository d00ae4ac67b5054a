package elmsail.rpc.messages;

import io.protostuff.Tag;

/** A ballot number: ordered by round, then by proposer. Round 0 stands for no ballot. */
public final class Ballot {
  @Tag(1)
  public long round;

  @Tag(2)
  public long proposerId;
}
