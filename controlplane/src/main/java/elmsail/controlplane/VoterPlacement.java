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

  private final String set;
  private final HeartbeatTable heard;
  private final PlacementController controller;
  private final RedundancyMonitor redundancy;
  private PlacementController.Order order;

  /**
   * Makes one.
   *
   * @param set name of the set
   * @param heard the heartbeats of the role that its voters have
   * @param controller who chooses among them; asked by this one alone for orders
   */
  VoterPlacement(String set, HeartbeatTable heard, PlacementController controller) {
    this.set = set;
    this.heard = heard;
    this.controller = controller;
    redundancy = new RedundancyMonitor(set);
  }

  /**
   * Looks once; true if the order became another.
   *
   * @param decommissioned stations that are to be emptied
   * @param hears whether the candidates' silence may be counted now: this node's own silence isn't
   *     theirs
   * @param directs whether this node directs the placement of voters now
   */
  boolean look(
      VoterSet voterSet, Set<String> decommissioned, boolean hears, boolean directs, long now) {
    PlacementController.Order before = order;
    order = controller.order(heard, voterSet, decommissioned, hears, directs, now);
    redundancy.look(directs, heard, voterSet, now);
    boolean changed = !Objects.equals(order, before);
    if (changed && order != null) {
      LOG.info(
          "{}: {} shall take slot {}, epoch {}", set, order.address(), order.slot(), order.epoch());
    }
    return changed;
  }

  /** Whether one is to join at present. */
  boolean directs() {
    return order != null;
  }

  /** Puts the order into what the one that it is for is told. */
  void tell(PullRequest request, ClusterView view) {
    if (order != null
        && heard.role().equals(request.role)
        && order.address().equals(request.address)) {
      view.joinSlot = order.slot();
      view.joinEpoch = order.epoch();
    }
  }

  RedundancyMonitor redundancy() {
    return redundancy;
  }
}
