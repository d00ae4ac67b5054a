package elmsail.rpc.messages;

import io.protostuff.Tag;

/** Whether this voter grants the lease; if not, {@link #remainingMs} is how long it is held. */
public final class LeaseResponse {
  @Tag(1)
  public boolean granted;

  @Tag(2)
  public long remainingMs;
}
