package elmsail.config.watch;

import elmsail.rpc.messages.ClusterView;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/** Puts together what several control-plane nodes say of who is there. Pure. */
final class ClusterViews {
  private ClusterViews() {}

  /**
   * For each voter slot the holder that supersedes the other; a voter slot that only one knows is
   * taken over.
   */
  static VoterSet merge(VoterSet mine, VoterSet response) {
    VoterSet merged = new VoterSet();
    int size = Math.max(mine.voters.size(), response.voters.size());
    for (int i = 0; i < size; i++) {
      Voter ours = i < mine.voters.size() ? mine.voters.get(i) : null;
      Voter theirs = i < response.voters.size() ? response.voters.get(i) : null;
      merged.voters.add(ours == null || theirs != null && theirs.supersedes(ours) ? theirs : ours);
    }
    return merged;
  }

  /** The union, in order. */
  static List<String> union(Collection<List<String>> words) {
    TreeSet<String> all = new TreeSet<>();
    for (List<String> one : words) {
      all.addAll(one);
    }
    return new ArrayList<>(all);
  }

  static boolean same(ClusterView one, ClusterView other) {
    return same(one.head, other.head)
        && same(one.storeSet, other.storeSet)
        && one.gateways.equals(other.gateways);
  }

  static boolean same(VoterSet one, VoterSet other) {
    if (one.voters.size() != other.voters.size()) {
      return false;
    }
    for (int i = 0; i < one.voters.size(); i++) {
      if (!same(one.voters.get(i), other.voters.get(i))) {
        return false;
      }
    }
    return true;
  }

  private static boolean same(Voter one, Voter other) {
    return one.epoch == other.epoch
        && one.instanceId == other.instanceId
        && one.address.equals(other.address)
        && one.station.equals(other.station);
  }
}
