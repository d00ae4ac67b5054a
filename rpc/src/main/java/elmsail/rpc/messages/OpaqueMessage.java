package elmsail.rpc.messages;

/** A call that needs no more words: a kind and its bytes, for what one module alone speaks. */
public final class OpaqueMessage {
  public String kind = "";
  public byte[] bytes = {};
}
