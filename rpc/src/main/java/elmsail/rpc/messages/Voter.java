package elmsail.rpc.messages;

/** One vote of a set: who holds it, and which instance of whose disk. */
public final class Voter {
  public String address = "";
  public String station = "";
  public long instanceId;

  /** Goes up by one with each new holder or instance; the higher one is right. */
  public int epoch;

  /**
   * Who held the voter slot one epoch earlier, as the claim's maker knew: instance 0 if that isn't
   * known.
   */
  public String previousAddress = "";

  public long previousInstanceId;
  public int previousEpoch;
}
