package elmsail.rpc.messages;

import io.protostuff.Tag;

/** A message whose payload only one module encodes and decodes: its kind and its bytes. */
public final class OpaqueMessage {
  @Tag(1)
  public String kind = "";

  @Tag(2)
  public byte[] bytes = {};
}
