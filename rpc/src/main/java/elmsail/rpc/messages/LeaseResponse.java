package elmsail.rpc.messages;

import io.protostuff.Tag;

/** Whether the lease is granted by this voter; if not, how long it is taken yet, in ms. */
public final class LeaseResponse {
  @Tag(1)
  public boolean granted;

  @Tag(2)
  public long remainingMs;
}
