package elmsail.rpc.messages;

import io.protostuff.Tag;
import java.util.ArrayList;
import java.util.List;

/** The members of the system as one control-plane node sees them. */
public final class ClusterView {
  /** The voters on the configuration: the voter set named "head". */
  @Tag(1)
  public VoterSet controlPlaneVoters = new VoterSet();

  /** The voters on batch jobs: the voter set named "shelf"; empty before its bootstrap. */
  @Tag(2)
  public VoterSet jobStoreVoters = new VoterSet();

  /** RPC addresses of the gateways with a recent heartbeat. */
  @Tag(3)
  public List<String> gateways = new ArrayList<>();

  /** The voter slot that the receiver is assigned, or -1; {@link #joinEpoch} is its next epoch. */
  @Tag(4)
  public int joinSlot = -1;

  @Tag(5)
  public int joinEpoch;
}
