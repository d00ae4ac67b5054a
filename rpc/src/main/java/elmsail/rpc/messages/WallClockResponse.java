package elmsail.rpc.messages;

import io.protostuff.Tag;

/** A control-plane node's time of day. */
public final class WallClockResponse {
  /** In ms since the start of 1970, by that machine's clock, which may be off. */
  @Tag(1)
  public long wallClockMs;
}
