package elmsail.rpc.messages;

import java.util.ArrayList;
import java.util.List;

/** Who is there, as one control-plane node sees it. */
public final class ClusterView {
  /** The control-plane nodes (voters on the configuration), the voter slots of set "head". */
  public VoterSet head = new VoterSet();

  /** The stores' voter slots, set "shelf"; empty before there are any. */
  public VoterSet storeSet = new VoterSet();

  /** Inner addresses of the gateways heard of lately. */
  public List<String> gateways = new ArrayList<>();

  /** A voter slot that the asking store shall claim, or -1; and the epoch to claim it with. */
  public int joinSlot = -1;

  public int joinEpoch;
}
