package elmsail.rpc.messages;

/** Whether the lease is granted by this voter; if not, how long it is taken yet, in ms. */
public final class LeaseResponse {
  public boolean granted;
  public long leftMs;
}
