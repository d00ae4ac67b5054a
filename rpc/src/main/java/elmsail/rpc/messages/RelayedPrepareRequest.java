package elmsail.rpc.messages;

import io.protostuff.Tag;

/**
 * A phase 1 that the receiver sends to all voters of its voter set, itself included, so that its
 * content crosses the sender's link only once. The ballot remains the sender's.
 */
public final class RelayedPrepareRequest {
  @Tag(1)
  public PrepareRequest prepare = new PrepareRequest();

  /** How long the receiver may wait for the voters. */
  @Tag(2)
  public long timeoutMs;
}
