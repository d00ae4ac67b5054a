package elmsail.rpc.messages;

import io.protostuff.Tag;

/** An attempt at a key: compared by round, then by who tries; round 0 is none. */
public final class Ballot {
  @Tag(1)
  public long round;

  @Tag(2)
  public long proposerId;
}
