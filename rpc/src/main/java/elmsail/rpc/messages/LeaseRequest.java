package elmsail.rpc.messages;

import io.protostuff.Tag;

/** Asks a voter to grant or renew a lease, or relinquishes it. */
public final class LeaseRequest {
  @Tag(1)
  public String lease = "";

  /** The requesting process, drawn at random at each start. */
  @Tag(2)
  public long instanceId;

  /** Duration in ms; 0 relinquishes what was granted in this round and before. */
  @Tag(3)
  public long durationMs;

  /** Increases with each request of a process. */
  @Tag(4)
  public long round;
}
