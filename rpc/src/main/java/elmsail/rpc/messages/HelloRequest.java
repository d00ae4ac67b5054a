package elmsail.rpc.messages;

/** One control-plane node to another before there is a set: who asks. */
public final class HelloRequest {
  public String station = "";
  public String address = "";
}
