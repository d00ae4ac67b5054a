package elmsail.rpc.messages;

import io.protostuff.Tag;

/** The node that responds, and the voters of "head" as it knows them. */
public final class HelloResponse {
  /** The machine's name. */
  @Tag(1)
  public String machine = "";

  /** The responder's RPC address. */
  @Tag(2)
  public String address = "";

  /** The responder's instance id. */
  @Tag(3)
  public long instanceId;

  /** Whether its disk was created at the first start of the whole system. */
  @Tag(4)
  public boolean firstStart;

  /** The voters of "head"; empty before they were chosen. */
  @Tag(5)
  public VoterSet voterSet = new VoterSet();

  @Tag(6)
  public String zone = "";

  /** Whether it has a disk. */
  @Tag(7)
  public boolean hasDisk;
}
