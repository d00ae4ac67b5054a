package elmsail.rpc.messages;

import io.protostuff.Tag;

/** One voter slot of a set: the process that holds it, and which instance of its disk. */
public final class Voter {
  /** The holder's RPC address. */
  @Tag(1)
  public String address = "";

  /** The name of the holder's machine. */
  @Tag(2)
  public String machine = "";

  /** The instance id of the holder's disk. */
  @Tag(3)
  public long instanceId;

  /** Increases by one with each new holder or instance; the higher one is in force. */
  @Tag(4)
  public int epoch;

  /** The holder of the epoch before, as the taker-over knew it. */
  @Tag(5)
  public String previousAddress = "";

  /** The instance id of that holder; 0 if it is not known. */
  @Tag(6)
  public long previousInstanceId;

  @Tag(7)
  public int previousEpoch;

  /**
   * Whether this holder votes, or voted, under this epoch. Two processes may take a slot over with
   * the same epoch; at most one of them ever votes under it, and the other's take-over is void
   * then.
   */
  @Tag(8)
  public boolean confirmed;

  /** Whether this entry is in force where both are known for the same voter slot. */
  public boolean supersedes(Voter other) {
    return epoch > other.epoch || epoch == other.epoch && confirmed && !other.confirmed;
  }
}
