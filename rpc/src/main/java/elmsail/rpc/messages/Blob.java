package elmsail.rpc.messages;

/** An immutable piece of data, kept beside a key until that is dropped. */
public final class Blob {
  public String name = "";
  public byte[] bytes = {};
}
