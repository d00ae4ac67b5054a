package elmsail.controlplane;

import elmsail.rpc.messages.ClusterView;
import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.VoterSet;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Assigns the slots of one voter set: a spare of the set's role takes over the slot of a voter that
 * is gone or is to be decommissioned. A partitioned voter is not distinguished from a lost one; if
 * it comes back, the voters that acknowledged its successor reject its votes, and it is a spare
 * from then on. The voter sets differ only in where their heartbeats come from. Runs on the event
 * loop.
 */
final class VoterPlacement {
  private static final Logger LOG = LoggerFactory.getLogger(VoterPlacement.class);

  private final String voterSetName;
  private final HeartbeatTable heartbeats;
  private final PlacementController controller;
  private final RedundancyMonitor redundancy;
  private Optional<PlacementController.Assignment> assignment = Optional.empty();

  /**
   * Creates one without an assignment.
   *
   * @param voterSetName as on the wire; in log lines
   * @param heartbeats of the role that the voters have
   * @param controller chooses the spare; no other caller takes assignments from it
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
   * @param isObserving whether missing heartbeats count against the members now; they don't where
   *     this node itself may be partitioned
   * @param canAssign whether this node may assign slots now
   * @return whether the assignment is another than before
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
        "{}: {} shall take slot {}, epoch {}",
        voterSetName,
        newAssignment.address(),
        newAssignment.slot(),
        newAssignment.epoch());
  }

  /** Whether a spare is to take over a slot at present. */
  boolean hasAssignment() {
    return assignment.isPresent();
  }

  /** Adds the assignment to the view for the process that it is for. */
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
