package elmsail.rpc.messages;

/** Asks a voter for the lease of a duty, or to renew it; or gives up what was granted in vain. */
public final class LeaseRequest {
  public String lease = "";

  /** The process that asks, drawn anew at each start. */
  public long who;

  /** 0 gives up what was granted in this round and before. */
  public long forMs;

  /** Of the asker, rising. */
  public long round;
}
