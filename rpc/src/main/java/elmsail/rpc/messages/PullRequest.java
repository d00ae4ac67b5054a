package elmsail.rpc.messages;

import io.protostuff.Tag;

/**
 * A watch: the watcher and the versions that it knows. It is held open until something newer exists
 * or the wait is over, and serves as a heartbeat.
 */
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
   * Of a store or control-plane node: whether it votes, that is, holds a voter slot and has caught
   * up.
   */
  @Tag(6)
  public boolean voting;

  @Tag(7)
  public boolean drained;

  @Tag(8)
  public VoterSet jobStoreVoters = new VoterSet();

  /** The known versions, one for each source. */
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

  /** Whether the sender has a disk, without which it cannot be a voter. */
  @Tag(14)
  public boolean hasDisk;
}
