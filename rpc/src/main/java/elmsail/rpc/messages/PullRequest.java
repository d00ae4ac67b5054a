package elmsail.rpc.messages;

import io.protostuff.Tag;

/** Who asks, and what it has: held open until something is newer, or the wait is over. */
public final class PullRequest {
  @Tag(1)
  public String machine = "";

  @Tag(2)
  public String address = "";

  @Tag(3)
  public String zone = "";

  /** "gateway", "store" or "controlplane". */
  @Tag(4)
  public String role = "";

  @Tag(5)
  public long instanceId;

  /**
   * A store's or control-plane node's: whether it holds a voter slot and has caught up; the voter
   * set it knows.
   */
  @Tag(6)
  public boolean voting;

  @Tag(7)
  public boolean drained;

  @Tag(8)
  public VoterSet jobStoreVoters = new VoterSet();

  /** Versions known, one for each source. */
  @Tag(9)
  public long configVersion;

  @Tag(10)
  public long serverListEpoch;

  @Tag(11)
  public long serverListVersion;

  @Tag(12)
  public long viewVersion;

  @Tag(13)
  public long maxWaitMs;

  /** Whether the asker has a disk, without which it can hold no voter slot. */
  @Tag(14)
  public boolean hasDisk;
}
