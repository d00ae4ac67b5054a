package elmsail.rpc.messages;

/** Who answers, and the voter slots of "head" as it knows them (none before the founding). */
public final class HelloResponse {
  public String station = "";
  public String address = "";
  public long instanceId;

  /** Whether this instance began at the first start of the whole system, on an empty disk. */
  public boolean firstStart;

  public VoterSet voterSet = new VoterSet();
  public String zone = "";
  public boolean hasDisk;
}
