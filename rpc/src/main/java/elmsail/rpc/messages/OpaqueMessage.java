package elmsail.rpc.messages;

import io.protostuff.Tag;

/** A call that needs no more words: a kind and its bytes, for what one module alone speaks. */
public final class OpaqueMessage {
  @Tag(1)
  public String kind = "";

  @Tag(2)
  public byte[] bytes = {};
}
