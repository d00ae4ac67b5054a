package elmsail.rpc.messages;

import io.protostuff.Tag;

/**
 * A first round that the receiver passes on to all voters of its voter set, itself included, so
 * that what it carries crosses the sender's link once. The ballot stays the sender's.
 */
public final class RelayedPrepareRequest {
  @Tag(1)
  public PrepareRequest prepare = new PrepareRequest();

  /** How long the receiver may wait for the voters, in ms. */
  @Tag(2)
  public long timeoutMs;
}
