package elmsail.rpc.messages;

import io.protostuff.Tag;

/** Whether this voter grants the lease. */
public final class LeaseResponse {
  @Tag(1)
  public boolean granted;

  /** If not granted: how long another process's grant still lasts. */
  @Tag(2)
  public long remainingMs;
}
