package elmsail.controlplane;

import elmsail.rpc.messages.ClusterView;
import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.VoterSet;
import java.util.Objects;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Directs who holds the voter slots of one set: a spare of the set's role takes the slot of a voter
 * that is gone or is to be decommissioned. Cut off and gone for good are not told apart; one that
 * comes back is refused every vote by those who acknowledged its successor, and is a spare from
 * then on. Sets differ only in how their candidates are heard.
 */
final class VoterPlacement {
  private static final Logger LOG = LoggerFactory.getLogger(VoterPlacement.class);

  private final String voterSetName;
  private final HeartbeatTable heartbeats;
  private final PlacementController controller;
  private final RedundancyMonitor redundancy;
  private PlacementController.Assignment assignment;

  /**
   * Makes one.
   *
   * @param voterSetName name of the set
   * @param heartbeats the heartbeats of the role that its voters have
   * @param controller who chooses among them; asked by this one alone for orders
   */
  VoterPlacement(String voterSetName, HeartbeatTable heartbeats, PlacementController controller) {
    this.voterSetName = voterSetName;
    this.heartbeats = heartbeats;
    this.controller = controller;
    redundancy = new RedundancyMonitor(voterSetName);
  }

  /**
   * Looks once; true if the order became another.
   *
   * @param decommissioning stations that are to be emptied
   * @param isObserving whether the candidates' silence may be counted now: this node's own silence
   *     isn't theirs
   * @param canAssign whether this node directs the placement of voters now
   */
  boolean refresh(
      VoterSet voterSet,
      Set<String> decommissioning,
      boolean isObserving,
      boolean canAssign,
      long now) {
    PlacementController.Assignment previous = assignment;
    assignment =
        controller.assignment(heartbeats, voterSet, decommissioning, isObserving, canAssign, now);
    redundancy.observe(canAssign, heartbeats, voterSet, now);
    boolean changed = !Objects.equals(assignment, previous);
    if (changed && assignment != null) {
      LOG.info(
          "{}: {} shall take slot {}, epoch {}",
          voterSetName,
          assignment.address(),
          assignment.slot(),
          assignment.epoch());
    }
    return changed;
  }

  /** Whether one is to join at present. */
  boolean hasAssignment() {
    return assignment != null;
  }

  /** Puts the order into what the one that it is for is told. */
  void addAssignmentTo(PullRequest request, ClusterView view) {
    if (assignment != null
        && heartbeats.role().isRoleOf(request)
        && assignment.address().equals(request.address)) {
      view.joinSlot = assignment.slot();
      view.joinEpoch = assignment.epoch();
    }
  }

  RedundancyMonitor redundancy() {
    return redundancy;
  }
}
