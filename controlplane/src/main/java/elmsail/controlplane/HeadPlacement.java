package elmsail.controlplane;

import elmsail.rpc.messages.ClusterView;
import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.Settings;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Directs who holds the voter slots of "head": a control-plane node with a disk that holds none
 * takes the slot of one that is gone. Cut off and gone for good are not told apart; one that comes
 * back is refused every vote by those who acknowledged its successor, and is a spare from then on.
 */
final class HeadPlacement {
  private static final Logger LOG = LoggerFactory.getLogger(HeadPlacement.class);

  private final HeartbeatTable heard = new HeartbeatTable(ROLE);
  private final RedundancyMonitor redundancy = new RedundancyMonitor(ControlPlaneVoters.SET);
  private final PlacementController controller;
  private final PullRequest own = new PullRequest();
  private PlacementController.Order order;

  /** Role of control-plane nodes in their pulls. */
  static final String ROLE = "controlplane";

  HeadPlacement(Settings settings, long instanceId, long now) {
    controller =
        new PlacementController(
            2 * settings.bearMachines() + 1, PlacementController.HEAD_GONE_MS, now);
    own.role = ROLE;
    own.station = settings.station();
    own.address = settings.innerAddress();
    own.zone = settings.zone();
    own.instanceId = instanceId;
    own.hasDisk = settings.dataDir() != null;
  }

  void note(PullRequest request, long now) {
    heard.note(request, now);
  }

  /**
   * Looks once; true if the order became another.
   *
   * @param voting whether this node votes: the others pull at voters only
   * @param hears whether this node reads at a majority
   * @param directs whether it does and holds the lease
   */
  boolean look(VoterSet head, boolean voting, boolean hears, boolean directs, long now) {
    own.voting = voting;
    heard.note(own, now);
    PlacementController.Order before = order;
    order = controller.order(heard, head, Set.of(), hears && voting, directs, now);
    if (directs) {
      redundancy.look(heard, head, now);
    } else {
      redundancy.forget();
    }
    boolean changed = order == null ? before != null : !order.equals(before);
    if (changed && order != null) {
      LOG.info(
          "{} shall take slot {} of the head, epoch {}",
          order.address(),
          order.slot(),
          order.epoch());
    }
    return changed;
  }

  /** Puts the order into what the one that it is for is told. */
  void tell(PullRequest request, ClusterView view) {
    if (order != null && ROLE.equals(request.role) && order.address().equals(request.address)) {
      view.joinSlot = order.slot();
      view.joinEpoch = order.epoch();
    }
  }

  RedundancyMonitor redundancy() {
    return redundancy;
  }
}
