package elmsail.rpc.messages;

import io.protostuff.Tag;

/** One vote of a set: who holds it, and which instance of whose disk. */
public final class Voter {
  @Tag(1)
  public String address = "";

  @Tag(2)
  public String machine = "";

  @Tag(3)
  public long instanceId;

  /** Goes up by one with each new holder or instance; the higher one is right. */
  @Tag(4)
  public int epoch;

  /**
   * Who held the voter slot one epoch earlier, as the claim's maker knew: instance 0 if that isn't
   * known.
   */
  @Tag(5)
  public String previousAddress = "";

  @Tag(6)
  public long previousInstanceId;

  @Tag(7)
  public int previousEpoch;

  /**
   * Whether this holder votes, or voted, under this epoch. Two may claim a voter slot with one
   * epoch; at most one of them ever votes under it, and the other's claim is void then.
   */
  @Tag(8)
  public boolean confirmed;

  /** Whether this is right where both are told of the same voter slot. */
  public boolean supersedes(Voter other) {
    return epoch > other.epoch || epoch == other.epoch && confirmed && !other.confirmed;
  }
}
