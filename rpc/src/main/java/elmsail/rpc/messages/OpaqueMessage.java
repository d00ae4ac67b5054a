package elmsail.rpc.messages;

import io.protostuff.Tag;

/**
 * Bytes of a kind that only one module encodes and decodes; a response without content is empty.
 */
public final class OpaqueMessage {
  /** Selects the handler within the module. */
  @Tag(1)
  public String kind = "";

  @Tag(2)
  public byte[] bytes = {};
}
