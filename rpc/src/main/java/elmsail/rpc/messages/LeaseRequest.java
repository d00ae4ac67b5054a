package elmsail.rpc.messages;

import io.protostuff.Tag;

/**
 * Asks a voter to grant or renew the lease of a singleton role, or releases what it has granted.
 * The lease is held by who has grants of a majority.
 */
public final class LeaseRequest {
  /** The name of the role. */
  @Tag(1)
  public String lease = "";

  /** The requesting process, drawn anew at each start. */
  @Tag(2)
  public long instanceId;

  /** How long the grant is to last; 0 releases the grants of this round and before. */
  @Tag(3)
  public long durationMs;

  /** Increases with each attempt of the requester; orders its requests. */
  @Tag(4)
  public long round;
}
