package elmsail.rpc.messages;

import io.protostuff.Tag;

/** Asks a voter for the lease of a duty, or to renew it; or gives up what was granted in vain. */
public final class LeaseRequest {
  @Tag(1)
  public String lease = "";

  /** The process that asks, drawn anew at each start. */
  @Tag(2)
  public long instanceId;

  /** 0 gives up what was granted in this round and before. */
  @Tag(3)
  public long durationMs;

  /** Of the asker, rising. */
  @Tag(4)
  public long round;
}
