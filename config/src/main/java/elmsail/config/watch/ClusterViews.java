package elmsail.config.watch;

import elmsail.consensus.VoterSets;
import elmsail.rpc.messages.ClusterView;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/** Compares and joins what control-plane nodes say of who is there. Pure. */
final class ClusterViews {
  private ClusterViews() {}

  /** The union, in order. */
  static List<String> union(Collection<List<String>> lists) {
    TreeSet<String> members = new TreeSet<>();
    for (List<String> list : lists) {
      members.addAll(list);
    }
    return new ArrayList<>(members);
  }

  /** Whether both tell the same of both sets' voter slots and of the gateways. */
  static boolean sameMembers(ClusterView one, ClusterView other) {
    return VoterSets.areEqual(one.controlPlaneVoters, other.controlPlaneVoters)
        && VoterSets.areEqual(one.jobStoreVoters, other.jobStoreVoters)
        && one.gateways.equals(other.gateways);
  }
}
