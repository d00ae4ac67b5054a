package elmsail.rpc.messages;

import io.protostuff.Tag;

/** An immutable piece of data, kept beside a key until that is dropped. */
public final class Blob {
  @Tag(1)
  public String name = "";

  @Tag(2)
  public byte[] bytes = {};
}
