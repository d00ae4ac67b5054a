package elmsail.rpc.messages;

import io.protostuff.Tag;
import java.util.ArrayList;
import java.util.List;

/** The processes of the tier as one control-plane node knows them. */
public final class ClusterView {
  /** The voters on the configuration: voter set "head". */
  @Tag(1)
  public VoterSet controlPlaneVoters = new VoterSet();

  /** The voters on batch jobs: voter set "shelf"; empty before it exists. */
  @Tag(2)
  public VoterSet jobStoreVoters = new VoterSet();

  /** RPC addresses of the gateways that sent a heartbeat lately. */
  @Tag(3)
  public List<String> gateways = new ArrayList<>();

  /** A voter slot that the requesting store shall take over, or -1. */
  @Tag(4)
  public int joinSlot = -1;

  /** The epoch to take over {@link #joinSlot} with. */
  @Tag(5)
  public int joinEpoch;
}
