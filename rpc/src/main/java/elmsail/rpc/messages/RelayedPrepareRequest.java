package elmsail.rpc.messages;

import io.protostuff.Tag;

/**
 * A prepare that the receiver relays to all voters of its voter set, itself included, so that its
 * blobs cross the sender's link once. The ballot stays the sender's.
 */
public final class RelayedPrepareRequest {
  @Tag(1)
  public PrepareRequest prepare = new PrepareRequest();

  /** The maximum time in ms that the receiver waits for the voters. */
  @Tag(2)
  public long timeoutMs;
}
