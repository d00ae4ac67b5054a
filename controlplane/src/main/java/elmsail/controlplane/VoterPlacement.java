package elmsail.controlplane;

import elmsail.rpc.messages.ClusterView;
import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.VoterSet;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Assigns the slots of one voter set: a spare with the voter set's role takes over the slot of a
 * voter that is gone or is to be decommissioned. A partitioned voter is treated like a lost voter.
 * If the partitioned voter returns, the voters that acknowledged its successor reject its votes,
 * and it becomes a spare. The voter sets differ only in the source of their heartbeats. Runs on the
 * event loop.
 */
final class VoterPlacement {
  private static final Logger LOG = LoggerFactory.getLogger(VoterPlacement.class);

  private final String voterSetName;
  private final HeartbeatTable heartbeats;
  private final PlacementController controller;
  private final RedundancyMonitor redundancy;
  private Optional<PlacementController.Assignment> assignment = Optional.empty();

  /**
   * Creates a placement without an assignment.
   *
   * @param voterSetName the name on the wire, also used in log lines
   * @param heartbeats of the processes with the voters' role
   * @param controller chooses the spare; must not be used for assignments by another caller
   */
  VoterPlacement(String voterSetName, HeartbeatTable heartbeats, PlacementController controller) {
    this.voterSetName = voterSetName;
    this.heartbeats = heartbeats;
    this.controller = controller;
    redundancy = new RedundancyMonitor(voterSetName);
  }

  /**
   * Renews the assignment; called at an interval.
   *
   * @param decommissioning machines whose stores are to be decommissioned
   * @param isObserving whether missing heartbeats count against the members; false while this node
   *     itself may be partitioned
   * @param canAssign whether this node may assign slots now
   * @return whether the assignment changed
   */
  boolean refresh(
      VoterSet voterSet,
      Set<String> decommissioning,
      boolean isObserving,
      boolean canAssign,
      long now) {
    Optional<PlacementController.Assignment> previous = assignment;
    assignment =
        controller.assignment(heartbeats, voterSet, decommissioning, isObserving, canAssign, now);
    redundancy.observe(canAssign, heartbeats, voterSet, now);
    boolean changed = !assignment.equals(previous);
    if (changed) {
      assignment.ifPresent(this::logAssignment);
    }
    return changed;
  }

  private void logAssignment(PlacementController.Assignment newAssignment) {
    LOG.info(
        "voter set {}: assigning {} to slot {}, epoch {}",
        voterSetName,
        newAssignment.address(),
        newAssignment.slot(),
        newAssignment.epoch());
  }

  /** Whether a spare is currently assigned to take over a slot. */
  boolean hasAssignment() {
    return assignment.isPresent();
  }

  /** Adds the assignment to the view if the pull comes from the assigned process. */
  void addAssignmentTo(PullRequest request, ClusterView view) {
    if (!heartbeats.role().isRoleOf(request)) {
      return;
    }
    assignment
        .filter(current -> current.address().equals(request.address))
        .ifPresent(
            current -> {
              view.joinSlot = current.slot();
              view.joinEpoch = current.epoch();
            });
  }

  RedundancyMonitor redundancy() {
    return redundancy;
  }
}
