package elmsail.rpc.messages;

/** Who asks, and what it has: held open until something is newer, or the wait is over. */
public final class PullRequest {
  public String station = "";
  public String address = "";
  public String zone = "";

  /** "gateway", "store" or "controlplane". */
  public String role = "";

  public long instanceId;

  /**
   * A store's or control-plane node's: whether it holds a voter slot and has caught up; the voter
   * set it knows.
   */
  public boolean voting;

  public boolean emptied;
  public VoterSet storeSet = new VoterSet();

  /** Versions known, one for each source. */
  public long edition;

  public long listEpoch;
  public long listVersion;
  public long viewVersion;
  public long waitMs;

  /** Whether the asker has a disk, without which it can hold no voter slot. */
  public boolean hasDisk;
}
