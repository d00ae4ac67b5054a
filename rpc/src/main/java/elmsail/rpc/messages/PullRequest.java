package elmsail.rpc.messages;

import io.protostuff.Tag;
import java.util.ArrayList;
import java.util.List;

/**
 * The heartbeat and long poll of a process to a control-plane node: says what the sender is and
 * knows. The receiver responds as soon as something is newer, or after {@link #maxWaitMs}.
 */
public final class PullRequest {
  /** The machine's name. */
  @Tag(1)
  public String machine = "";

  /** The sender's RPC address. */
  @Tag(2)
  public String address = "";

  @Tag(3)
  public String zone = "";

  /** "gateway", "store" or "controlplane". */
  @Tag(4)
  public String role = "";

  /** The sender's instance id. */
  @Tag(5)
  public long instanceId;

  /** Whether the sender holds a voter slot and has caught up. */
  @Tag(6)
  public boolean voting;

  /** Whether the sender is a store that was decommissioned and holds no voter slot any more. */
  @Tag(7)
  public boolean drained;

  /** The job-store voters that the sender knows. */
  @Tag(8)
  public VoterSet jobStoreVoters = new VoterSet();

  /** The version of the configuration that the sender has. */
  @Tag(9)
  public long configVersion;

  /** The epoch of the server list that the sender has. */
  @Tag(10)
  public long serverListEpoch;

  /** The version of the server list within its epoch. */
  @Tag(11)
  public long serverListVersion;

  /** The version of the {@link ClusterView} that the sender has. */
  @Tag(12)
  public long viewVersion;

  /** How long the response may be delayed while nothing is newer. */
  @Tag(13)
  public long maxWaitMs;

  /** Whether the sender has a disk, without which it can hold no voter slot. */
  @Tag(14)
  public boolean hasDisk;

  /** What a gateway has open at services whose number of servers the tier sets. */
  @Tag(15)
  public List<ServiceDemand> demand = new ArrayList<>();
}
