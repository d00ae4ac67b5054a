package elmsail.controlplane;

import elmsail.config.watch.PeerRole;
import elmsail.consensus.Register;
import elmsail.consensus.VoterSets;
import elmsail.rpc.messages.ClusterView;
import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.Counters;
import elmsail.runtime.Timers;
import java.util.List;
import java.util.Set;

/**
 * Manages this node's knowledge of the control-plane voters, the job-store voters and the processes
 * that send heartbeats to this node. While this node may assign slots, it bootstraps the job-store
 * voters and assigns the slots of lost voters to spares. Runs on the event loop.
 *
 * <p>The node may assign slots while it holds the singleton lease, is in contact with a majority of
 * the control-plane voters, and has a current list of stores to decommission.
 */
final class VoterSetManager {
  private static final long VOTER_SET_READ_INTERVAL_MS = 1_000;

  /** A gateway is published while its last heartbeat is not older than this. */
  private static final long GATEWAY_EXPIRY_MS = 4_000;

  private final Timers timers;
  private final ControlPlaneVoters controlPlaneVoters;
  private final KnownVoterSet jobStoreVoters;
  private final HeartbeatTable storeHeartbeats;
  private final HeartbeatTable controlPlaneHeartbeats = new HeartbeatTable(PeerRole.CONTROL_PLANE);
  private final SingletonLease lease;
  private final QuorumContact quorumContact;
  private final DecommissionManager decommissionManager;
  private final ControlPlaneCounters counters;
  private final CommittedValue committedInitialVoters;
  private final StoreBootstrap storeBootstrap;
  private final VoterPlacement storePlacement;
  private final VoterPlacement controlPlanePlacement;
  private VoterSet publishedControlPlaneVoters = new VoterSet();
  private List<String> liveGateways = List.of();

  /**
   * The two voter sets as this node knows them, and the heartbeats of stores and gateways.
   *
   * @param controlPlaneVoters this node's part in the control-plane voters
   * @param jobStoreVoters the newest known voter set of the job stores
   * @param storeHeartbeats received from stores and gateways
   */
  record Membership(
      ControlPlaneVoters controlPlaneVoters,
      KnownVoterSet jobStoreVoters,
      HeartbeatTable storeHeartbeats) {}

  /**
   * Creates a manager that reads nothing before {@link #refresh()} and assigns nothing before
   * {@link #tick}.
   *
   * @param environment of this process
   * @param register of the control-plane voters
   * @param membership shared with the other managers
   * @param lease that this node must hold to assign slots
   * @param quorumContact of this node with a majority of the control-plane voters
   * @param decommissionManager lists the stores that must not get a slot
   */
  VoterSetManager(
      NodeEnvironment environment,
      Register register,
      Membership membership,
      SingletonLease lease,
      QuorumContact quorumContact,
      DecommissionManager decommissionManager,
      ControlPlaneCounters counters) {
    this.timers = environment.timers();
    this.controlPlaneVoters = membership.controlPlaneVoters();
    this.jobStoreVoters = membership.jobStoreVoters();
    this.storeHeartbeats = membership.storeHeartbeats();
    this.lease = lease;
    this.quorumContact = quorumContact;
    this.decommissionManager = decommissionManager;
    this.counters = counters;
    int voterCount = environment.targetVoterCount();
    committedInitialVoters =
        new CommittedValue(register, StoreBootstrap.KEY, timers, VOTER_SET_READ_INTERVAL_MS);
    PlacementController storeController = new PlacementController(voterCount, timers.now());
    storeBootstrap =
        new StoreBootstrap(register, committedInitialVoters, storeController, storeHeartbeats);
    storePlacement = new VoterPlacement(StoreNode.VOTER_SET_NAME, storeHeartbeats, storeController);
    controlPlanePlacement =
        new VoterPlacement(
            ControlPlaneVoters.VOTER_SET_NAME,
            controlPlaneHeartbeats,
            new PlacementController(
                voterCount, PlacementController.CONTROL_PLANE_GONE_AFTER_MS, timers.now()));
  }

  void registerGauges(Counters gauges) {
    gauges.registerGauge("control_store_voters_voting", storePlacement.redundancy()::votingCount);
    gauges.registerGauge(
        "control_head_voters_voting", controlPlanePlacement.redundancy()::votingCount);
  }

  /** Starts to merge the initial job-store voters when they are committed. */
  void addListeners() {
    committedInitialVoters.addListener(value -> jobStoreVoters.learn(VoterSetValue.decode(value)));
  }

  /** Reads the initial job-store voters now and then repeatedly at an interval. */
  void refresh() {
    committedInitialVoters.refresh();
  }

  void close() {
    committedInitialVoters.close();
  }

  /** The monitor of the control-plane voter set's redundancy. */
  RedundancyMonitor controlPlaneRedundancy() {
    return controlPlanePlacement.redundancy();
  }

  /** Records another process's pull as its heartbeat. */
  void onHeartbeat(PullRequest request) {
    storeHeartbeats.onHeartbeat(request, timers.now());
    controlPlaneHeartbeats.onHeartbeat(request, timers.now());
    controlPlaneVoters.onPull(request);
    if (PeerRole.STORE.isRoleOf(request) && request.jobStoreVoters != null) {
      jobStoreVoters.learn(request.jobStoreVoters);
    }
  }

  /** Merges the voter sets that another control-plane node published. */
  void learn(ClusterView view) {
    jobStoreVoters.learn(view.jobStoreVoters);
    if (!view.controlPlaneVoters.voters.isEmpty()) {
      controlPlaneVoters.learn(view.controlPlaneVoters);
    }
  }

  /** Returns the cluster view for the sender of that pull, including its slot assignment. */
  ClusterView view(PullRequest request) {
    ClusterView view = new ClusterView();
    view.controlPlaneVoters = controlPlaneVoters.current();
    view.jobStoreVoters = jobStoreVoters.current();
    view.gateways = liveGateways;
    if (canAssignSlots()) {
      storePlacement.addAssignmentTo(request, view);
      controlPlanePlacement.addAssignmentTo(request, view);
    }
    return view;
  }

  /** Whether this node may assign voter slots at this moment. */
  private boolean canAssignSlots() {
    return lease.term() > 0 && quorumContact.isCurrent() && decommissionManager.isListCurrent();
  }

  /**
   * Bootstraps the job-store voters or renews the assignments, if this node may; called at an
   * interval.
   *
   * @return whether the view changed
   */
  boolean tick(long now) {
    boolean isInContact = quorumContact.isCurrent();
    boolean canAssign = canAssignSlots();
    if (canAssign && shouldBootstrapStores()) {
      storeBootstrap.tryBootstrap(now);
    }
    boolean storeAssignmentChanged =
        storePlacement.refresh(
            jobStoreVoters.current(),
            decommissionManager.listedMachines(),
            canAssign,
            canAssign,
            now);
    controlPlaneHeartbeats.onHeartbeat(controlPlaneVoters.heartbeat(), now);
    boolean controlPlaneAssignmentChanged =
        controlPlanePlacement.refresh(
            controlPlaneVoters.current(),
            Set.of(),
            isInContact && controlPlaneVoters.isVoting(),
            canAssign,
            now);
    countAssignment(storeAssignmentChanged, storePlacement);
    countAssignment(controlPlaneAssignmentChanged, controlPlanePlacement);
    boolean membershipChanged = updatePublishedMembership(now);
    return storeAssignmentChanged || controlPlaneAssignmentChanged || membershipChanged;
  }

  private boolean shouldBootstrapStores() {
    return jobStoreVoters.isEmpty()
        && storeBootstrap.isPending()
        && controlPlaneVoters.isFromFirstStart();
  }

  private void countAssignment(boolean hasChanged, VoterPlacement placement) {
    counters.joinsDirected.add(hasChanged && placement.hasAssignment() ? 1 : 0);
  }

  private boolean updatePublishedMembership(long now) {
    List<String> currentGateways = storeHeartbeats.gatewaysWithin(now, GATEWAY_EXPIRY_MS);
    boolean changed =
        !VoterSets.areEqual(publishedControlPlaneVoters, controlPlaneVoters.current())
            || !currentGateways.equals(liveGateways);
    publishedControlPlaneVoters = controlPlaneVoters.current();
    liveGateways = currentGateways;
    return changed;
  }
}
