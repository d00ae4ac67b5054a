package elmsail.rpc.messages;

import io.protostuff.Tag;

/** The holder of one voter slot: its address, its node, and the instance of its disk. */
public final class Voter {
  @Tag(1)
  public String address = "";

  @Tag(2)
  public String machine = "";

  @Tag(3)
  public long instanceId;

  /** Increases by one with each new holder or instance; the higher epoch is current. */
  @Tag(4)
  public int epoch;

  /**
   * The holder of the slot one epoch earlier, as known to the process that claimed it; instance 0
   * if unknown.
   */
  @Tag(5)
  public String previousAddress = "";

  @Tag(6)
  public long previousInstanceId;

  @Tag(7)
  public int previousEpoch;

  /**
   * Whether this holder votes, or voted, under this epoch. Two processes may claim a slot under one
   * epoch; at most one of them ever votes under it, which voids the other's claim.
   */
  @Tag(8)
  public boolean confirmed;

  /** Whether this entry is newer than another entry of the same slot. */
  public boolean supersedes(Voter other) {
    return epoch > other.epoch || epoch == other.epoch && confirmed && !other.confirmed;
  }
}
