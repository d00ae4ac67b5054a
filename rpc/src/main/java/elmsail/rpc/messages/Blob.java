package elmsail.rpc.messages;

import io.protostuff.Tag;

/** Immutable data stored beside a key until the key is dropped. */
public final class Blob {
  @Tag(1)
  public String name = "";

  @Tag(2)
  public byte[] bytes = {};
}
