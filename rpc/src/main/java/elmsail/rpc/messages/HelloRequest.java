package elmsail.rpc.messages;

import io.protostuff.Tag;

/** One control-plane node to another before there is a set: who asks. */
public final class HelloRequest {
  @Tag(1)
  public String machine = "";

  @Tag(2)
  public String address = "";

  @Tag(3)
  public String zone = "";

  @Tag(4)
  public long instanceId;

  /** Whether the asker has a disk, without which it can hold no voter slot. */
  @Tag(5)
  public boolean hasDisk;

  /** Whether the asker's instance began at the first start of the whole system. */
  @Tag(6)
  public boolean firstStart;
}
