package elmsail.rpc.messages;

/** One control-plane node to another before there is a set: who asks. */
public final class HelloRequest {
  public String station = "";
  public String address = "";
  public String zone = "";
  public long instanceId;

  /** Whether the asker has a disk, without which it can hold no voter slot. */
  public boolean hasDisk;

  /** Whether the asker's instance began at the first start of the whole system. */
  public boolean firstStart;
}
