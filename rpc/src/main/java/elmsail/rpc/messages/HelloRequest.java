package elmsail.rpc.messages;

import io.protostuff.Tag;

/** Introduces one control-plane node to another before the voter set exists. */
public final class HelloRequest {
  @Tag(1)
  public String machine = "";

  @Tag(2)
  public String address = "";

  @Tag(3)
  public String zone = "";

  @Tag(4)
  public long instanceId;

  /** Whether the sender has a disk, without which it cannot be a voter. */
  @Tag(5)
  public boolean hasDisk;

  /** Whether the sender's instance began at the first start of the whole system. */
  @Tag(6)
  public boolean firstStart;
}
