package elmsail.config.watch;

import elmsail.consensus.VoterSets;
import elmsail.rpc.messages.ClusterView;
import elmsail.rpc.messages.VoterSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/**
 * The cluster membership that this process knows: both voter sets and the gateways. Views of
 * several control-plane nodes are merged: voter sets by {@link VoterSets#merge}, gateways by the
 * union of the lists that the nodes report. Owned by the event loop.
 */
final class ClusterViewCache {
  private final Runnable onControlPlaneVotersChanged;
  private ClusterView view = new ClusterView();

  /**
   * Starts with an empty view.
   *
   * @param onControlPlaneVotersChanged called inside an update, before the new view is visible
   */
  ClusterViewCache(Runnable onControlPlaneVotersChanged) {
    this.onControlPlaneVotersChanged = onControlPlaneVotersChanged;
  }

  /** The merged view; never null. Callers must not modify it. */
  ClusterView view() {
    return view;
  }

  /**
   * Merges the voter sets of a received view.
   *
   * @param gatewayLists the gateways that each responsive node reports; if empty, the known
   *     gateways are kept
   * @return whether the view changed
   */
  boolean merge(ClusterView received, Collection<List<String>> gatewayLists) {
    return update(
        VoterSets.merge(view.controlPlaneVoters, received.controlPlaneVoters),
        VoterSets.merge(view.jobStoreVoters, received.jobStoreVoters),
        gatewayLists);
  }

  /** Replaces only the gateways, as {@link #merge} does; returns whether the view changed. */
  boolean updateGateways(Collection<List<String>> gatewayLists) {
    return update(view.controlPlaneVoters, view.jobStoreVoters, gatewayLists);
  }

  private boolean update(
      VoterSet controlPlaneVoters, VoterSet jobStoreVoters, Collection<List<String>> gatewayLists) {
    ClusterView merged = new ClusterView();
    merged.controlPlaneVoters = controlPlaneVoters;
    merged.jobStoreVoters = jobStoreVoters;
    merged.gateways = gatewayLists.isEmpty() ? view.gateways : sortedUnion(gatewayLists);
    if (sameMembers(view, merged)) {
      return false;
    }
    if (!VoterSets.areEqual(view.controlPlaneVoters, controlPlaneVoters)) {
      onControlPlaneVotersChanged.run();
    }
    view = merged;
    return true;
  }

  private static List<String> sortedUnion(Collection<List<String>> lists) {
    TreeSet<String> members = new TreeSet<>();
    for (List<String> list : lists) {
      members.addAll(list);
    }
    return new ArrayList<>(members);
  }

  private static boolean sameMembers(ClusterView before, ClusterView after) {
    return VoterSets.areEqual(before.controlPlaneVoters, after.controlPlaneVoters)
        && VoterSets.areEqual(before.jobStoreVoters, after.jobStoreVoters)
        && before.gateways.equals(after.gateways);
  }
}
