package elmsail.rpc.messages;

import io.protostuff.Tag;

/** Immutable bytes that are stored beside a key, until the key is removed. */
public final class Blob {
  @Tag(1)
  public String name = "";

  @Tag(2)
  public byte[] bytes = {};
}
