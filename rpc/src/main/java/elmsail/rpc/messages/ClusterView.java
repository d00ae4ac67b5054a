package elmsail.rpc.messages;

import io.protostuff.Tag;
import java.util.ArrayList;
import java.util.List;

/** Who is there, as one control-plane node sees it. */
public final class ClusterView {
  /** The control-plane nodes (voters on the configuration), the voter slots of set "head". */
  @Tag(1)
  public VoterSet controlPlaneVoters = new VoterSet();

  /** The stores' voter slots, set "shelf"; empty before there are any. */
  @Tag(2)
  public VoterSet jobStoreVoters = new VoterSet();

  /** Inner addresses of the gateways heard of lately. */
  @Tag(3)
  public List<String> gateways = new ArrayList<>();

  /** A voter slot that the asking store shall claim, or -1; and the epoch to claim it with. */
  @Tag(4)
  public int joinSlot = -1;

  @Tag(5)
  public int joinEpoch;
}
