package elmsail.rpc.messages;

import io.protostuff.Tag;

/** The responder, and the voter set "head" as it knows it (empty before the bootstrap). */
public final class HelloResponse {
  @Tag(1)
  public String machine = "";

  @Tag(2)
  public String address = "";

  @Tag(3)
  public long instanceId;

  /** Whether this instance began at the first start of the whole system, on an empty disk. */
  @Tag(4)
  public boolean firstStart;

  @Tag(5)
  public VoterSet voterSet = new VoterSet();

  @Tag(6)
  public String zone = "";

  @Tag(7)
  public boolean hasDisk;
}
