package elmsail.rpc.messages;

import io.protostuff.Tag;

/** Introduces a control-plane node to another, and may announce the voters. */
public final class HelloRequest {
  /** The machine's name. */
  @Tag(1)
  public String machine = "";

  /** The sender's RPC address. */
  @Tag(2)
  public String address = "";

  @Tag(3)
  public String zone = "";

  /** The sender's instance id. */
  @Tag(4)
  public long instanceId;

  /** Whether the sender has a disk, without which it can hold no voter slot. */
  @Tag(5)
  public boolean hasDisk;

  /** Whether the sender's disk was created at the first start of the whole system. */
  @Tag(6)
  public boolean firstStart;

  /** The voters of "head", if the sender announces them; else empty. */
  @Tag(7)
  public VoterSet voterSet = new VoterSet();
}
