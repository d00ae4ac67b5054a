package elmsail.controlplane;

import elmsail.config.PlatformClient;
import elmsail.config.watch.ConfigWatcher;
import elmsail.config.watch.StoreStatus;
import elmsail.config.watch.WatchServer;
import elmsail.consensus.Register;
import elmsail.consensus.RegisterClient;
import elmsail.consensus.VoterSets;
import elmsail.rpc.RequestHandlers;
import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.ClusterView;
import elmsail.rpc.messages.OpaqueMessage;
import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.PullResponse;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.Counters;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.ProcessMetrics;
import elmsail.runtime.Settings;
import elmsail.runtime.Timers;
import elmsail.runtime.http.HttpClient;
import elmsail.runtime.http.HttpHandler;
import elmsail.storage.RecordStore;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A control-plane node that serves the operators, without the sockets: all on the loop. */
final class ControlPlaneNode {
  private static final Logger LOG = LoggerFactory.getLogger(ControlPlaneNode.class);

  private static final long CONFIG_READ_INTERVAL_MS = 300;
  private static final long SLOW_READ_INTERVAL_MS = 1_000;
  private static final long TICK_INTERVAL_MS = 200;

  /** A gateway is told to the others while it was heard within so long. */
  private static final long GATEWAY_EXPIRY_MS = 4_000;

  /** A store is heard at least so often; the others hear of changes at once anyway. */
  private static final long MAX_STORE_PULL_WAIT_MS = 400;

  private final Settings settings;
  private final Timers timers;
  private final RequestHandlers handlers;
  private final ControlPlaneVoters voters;
  private final Register register;
  private final CommittedValue committedConfig;
  private final CommittedValue committedDecommissions;
  private final CommittedValue committedStoreVoters;
  private final HeartbeatTable storeHeartbeats = new HeartbeatTable();
  private final HeartbeatTable controlPlaneHeartbeats = new HeartbeatTable(ControlPlaneVoters.ROLE);
  private final PeerNotifier peerNotifier;
  private final WatchServer updateSources;
  private final ConfigWatcher configWatcher;
  final SingletonLease lease;
  private final ServerDiscovery serverDiscovery;
  private final StoreBootstrap storeBootstrap;
  private final VoterPlacement storePlacement;
  private final VoterPlacement controlPlanePlacement;
  private final LeaseVoter leaseVoter;
  private final StoreHeartbeatQuery heartbeatQuery;
  private final HttpHandler operatorApi;
  private VoterSet jobStoreVoters = new VoterSet();
  private VoterSet publishedControlPlaneVoters = new VoterSet();
  private List<String> liveGateways = List.of();
  private final ControlPlaneCounters counters;
  private boolean closed;

  /**
   * Makes one; it answers and asks nothing before {@link #start()}.
   *
   * @param records null where this process has no disk
   * @param platform for the list of servers
   * @param processId drawn at random at each start
   * @param metrics the process's figures and invariants
   */
  ControlPlaneNode(
      Settings settings,
      Timers timers,
      RpcClient caller,
      RequestHandlers handlers,
      RecordStore records,
      HttpClient platform,
      long processId,
      ProcessMetrics metrics) {
    this.settings = settings;
    counters = new ControlPlaneCounters(metrics.counters());
    this.timers = timers;
    this.handlers = handlers;
    String localAddress = settings.rpcAddress();
    voters =
        new ControlPlaneVoters(settings, timers, caller, handlers, records, processId, metrics);
    register =
        new RegisterClient(
            ControlPlaneVoters.VOTER_SET_NAME,
            caller,
            timers,
            voters,
            processId,
            localAddress,
            address -> 1);
    committedConfig =
        new CommittedValue(register, ConfigChangeHandler.KEY, timers, CONFIG_READ_INTERVAL_MS);
    committedDecommissions =
        new CommittedValue(register, DecommissionList.KEY, timers, SLOW_READ_INTERVAL_MS);
    committedStoreVoters =
        new CommittedValue(register, StoreBootstrap.KEY, timers, SLOW_READ_INTERVAL_MS);
    peerNotifier = new PeerNotifier(caller, voters::current, localAddress);
    updateSources = new WatchServer(timers);
    configWatcher =
        new ConfigWatcher(
            caller,
            timers,
            settings,
            ControlPlaneVoters.ROLE,
            records == null ? processId : records.instanceId(),
            () -> new StoreStatus(voters.isVoting(), false, new VoterSet()),
            null);
    lease = new SingletonLease(caller, timers, register, voters::current, localAddress, processId);
    serverDiscovery = settings.platform() == null ? null : createServerDiscovery(platform);
    int voterCount = 2 * settings.toleratedMachineLosses() + 1;
    PlacementController storeController = new PlacementController(voterCount, timers.now());
    storeBootstrap =
        new StoreBootstrap(register, committedStoreVoters, storeController, storeHeartbeats);
    storePlacement = new VoterPlacement(StoreNode.VOTER_SET_NAME, storeHeartbeats, storeController);
    controlPlanePlacement =
        new VoterPlacement(
            ControlPlaneVoters.VOTER_SET_NAME,
            controlPlaneHeartbeats,
            new PlacementController(
                voterCount, PlacementController.CONTROL_PLANE_GONE_AFTER_MS, timers.now()));
    boolean firstProcess = records != null && settings.firstStart() && records.isNew();
    leaseVoter = new LeaseVoter(timers.now(), firstProcess);
    heartbeatQuery = new StoreHeartbeatQuery(caller, voters::current, localAddress);
    DecommissionHandler decommissionHandler =
        new DecommissionHandler(
            register,
            timers,
            storeHeartbeats,
            () -> jobStoreVoters,
            committedDecommissions,
            committedConfig.quorumContact(),
            voterCount,
            heartbeatQuery);
    operatorApi =
        new StaleReplyFilter(
            timers,
            new OperatorApi(
                configChangeHandler(
                    ConfigChangeHandler.ChangeKind.REPLACE, ConfigChange::replacement),
                configChangeHandler(ConfigChangeHandler.ChangeKind.AMEND, ConfigChange::amendment),
                new ReadConfigHandler(register, committedConfig),
                new VoterRedirect(decommissionHandler, settings, voters, configWatcher)));
    registerGauges(metrics.counters());
  }

  private ConfigChangeHandler configChangeHandler(
      ConfigChangeHandler.ChangeKind changeKind, ConfigChange.Reader changeReader) {
    return new ConfigChangeHandler(
        register,
        changeKind,
        changeReader,
        timers,
        committedConfig,
        edition -> peerNotifier.notifyPeers("decided"),
        counters);
  }

  private ServerDiscovery createServerDiscovery(HttpClient platform) {
    return new ServerDiscovery(
        new PlatformClient(platform, settings.platform().address(), timers),
        settings.platform().maxCallsPerSecond(),
        timers,
        updateSources,
        lease::term,
        counters);
  }

  private void registerGauges(Counters counters) {
    counters.registerGauge("control_lease_held", () -> lease.term() > 0 ? 1 : 0);
    counters.registerGauge(
        "control_in_contact", () -> committedConfig.quorumContact().isCurrent() ? 1 : 0);
    counters.registerGauge("control_store_voters_voting", storePlacement.redundancy()::votingCount);
    counters.registerGauge(
        "control_head_voters_voting", controlPlanePlacement.redundancy()::votingCount);
  }

  void start() {
    committedConfig.addListener(this::onConfigCommitted);
    committedDecommissions.addListener(value -> peerNotifier.notifyPeers("retire"));
    committedStoreVoters.addListener(value -> learnJobStoreVoters(VoterSetValue.decode(value)));
    updateSources.setViewFactory(this::view);
    handlers.register(PullRequest.class, this::onPull);
    handlers.register(OpaqueMessage.class, peerNotifier::handle);
    peerNotifier.onNotification("decided", committedConfig::refresh);
    peerNotifier.onNotification("retire", committedDecommissions::refresh);
    peerNotifier.register(StoreHeartbeatQuery.KIND, heartbeatQuery::respond);
    voters.addTakeOverListener(() -> leaseVoter.onSlotTakenOver(timers.now()));
    SingletonLease.registerVoteHandler(handlers, timers, leaseVoter, voters::isVoting);
    configWatcher.addListener(this::relayFromPeers);
    configWatcher.setJoinListener(voters::join);
    voters.start(handlers);
    committedConfig.refresh();
    committedDecommissions.refresh();
    committedStoreVoters.refresh();
    lease.tick();
    if (serverDiscovery != null) {
      serverDiscovery.start();
    }
    configWatcher.start();
    tick();
  }

  HttpHandler operatorApi() {
    return operatorApi;
  }

  /** The newest value of the key "timetable" that was seen decided here; null before the first. */
  byte[] committedConfigBytes() {
    return committedConfig.value();
  }

  /** This node's part in the set "head". */
  ControlPlaneVoters voters() {
    return voters;
  }

  /** Whether, and since when, the set "head" may lose its next member, as far as seen here. */
  RedundancyMonitor controlPlaneRedundancy() {
    return controlPlanePlacement.redundancy();
  }

  private CompletableFuture<PullResponse> onPull(PullRequest request) {
    storeHeartbeats.onHeartbeat(request, timers.now());
    controlPlaneHeartbeats.onHeartbeat(request, timers.now());
    if (HeartbeatTable.STORE_ROLE.equals(request.role) && request.jobStoreVoters != null) {
      learnJobStoreVoters(request.jobStoreVoters);
    }
    if (closed || !committedConfig.quorumContact().isCurrent()) {
      counters.pullsRefused.add(1);
      return CompletableFuture.failedFuture(
          new ElmsailException(ErrorCode.NOT_A_VOTER, "no contact with a majority"));
    }
    if (HeartbeatTable.STORE_ROLE.equals(request.role)) {
      request.maxWaitMs = Math.min(request.maxWaitMs, MAX_STORE_PULL_WAIT_MS);
    }
    return updateSources
        .watch(request)
        .thenApply(committedConfig.quorumContact()::requireCurrent)
        .whenComplete(this::countPull);
  }

  private void countPull(PullResponse response, Throwable failure) {
    (failure == null ? counters.pullsAnswered : counters.pullsRefused).add(1);
  }

  private void onConfigCommitted(byte[] value) {
    ConfigHistory history = ConfigHistory.decode(value);
    updateSources.setConfig(history.version(), history.configBytes());
    try {
      configWatcher.offerConfig(history.configBytes());
    } catch (ElmsailException e) {
      LOG.error(
          "configuration {} was committed and cannot be read here: {}",
          history.version(),
          e.getMessage());
    }
  }

  /** What other control-plane nodes know that is newer goes on to whoever asks here. */
  private void relayFromPeers() {
    if (configWatcher.configBytes() != null) {
      updateSources.setConfig(configWatcher.config().version(), configWatcher.configBytes());
    }
    if (configWatcher.serverListBytes() != null) {
      updateSources.setServers(
          configWatcher.serverListEpoch(),
          configWatcher.serverListVersion(),
          configWatcher.serverListBytes(),
          configWatcher.serverListFetchedAtMs());
    }
    learnJobStoreVoters(configWatcher.view().jobStoreVoters);
    if (!configWatcher.view().controlPlaneVoters.voters.isEmpty()) {
      voters.learn(configWatcher.view().controlPlaneVoters);
    }
  }

  private void learnJobStoreVoters(VoterSet newer) {
    VoterSet merged = VoterSets.merge(jobStoreVoters, newer);
    if (merged != jobStoreVoters) {
      jobStoreVoters = merged;
      updateSources.onViewChanged();
    }
  }

  private ClusterView view(PullRequest request) {
    ClusterView view = new ClusterView();
    view.controlPlaneVoters = voters.current();
    view.jobStoreVoters = jobStoreVoters;
    view.gateways = liveGateways;
    if (canAssignSlots()) {
      storePlacement.addAssignmentTo(request, view);
      controlPlanePlacement.addAssignmentTo(request, view);
    }
    return view;
  }

  /** Whether this process directs the placement of voters at this very moment. */
  private boolean canAssignSlots() {
    return lease.term() > 0
        && committedConfig.quorumContact().isCurrent()
        && committedDecommissions.quorumContact().isWithin(DecommissionHandler.MAX_LIST_AGE_MS);
  }

  private void tick() {
    if (closed) {
      return;
    }
    timers.schedule(TICK_INTERVAL_MS, this::tick);
    long now = timers.now();
    boolean inContact = committedConfig.quorumContact().isCurrent();
    boolean canAssign = canAssignSlots();
    if (canAssign
        && jobStoreVoters.voters.isEmpty()
        && storeBootstrap.isPending()
        && voters.isFromFirstStart()) {
      storeBootstrap.tryBootstrap(now);
    }
    boolean storeAssignmentChanged =
        storePlacement.refresh(
            jobStoreVoters,
            DecommissionList.decode(committedDecommissions.value()),
            canAssign,
            canAssign,
            now);
    controlPlaneHeartbeats.onHeartbeat(voters.heartbeat(), now);
    boolean controlPlaneAssignmentChanged =
        controlPlanePlacement.refresh(
            voters.current(), Set.of(), inContact && voters.isVoting(), canAssign, now);
    List<String> currentGateways = storeHeartbeats.gatewaysWithin(now, GATEWAY_EXPIRY_MS);
    boolean controlPlaneVotersChanged =
        !VoterSets.areEqual(publishedControlPlaneVoters, voters.current());
    counters.joinsDirected.add(storeAssignmentChanged && storePlacement.hasAssignment() ? 1 : 0);
    counters.joinsDirected.add(
        controlPlaneAssignmentChanged && controlPlanePlacement.hasAssignment() ? 1 : 0);
    if (storeAssignmentChanged
        || controlPlaneVotersChanged
        || controlPlaneAssignmentChanged
        || !currentGateways.equals(liveGateways)) {
      publishedControlPlaneVoters = voters.current();
      liveGateways = currentGateways;
      updateSources.onViewChanged();
    }
    relayFromPeers();
  }

  /** Asks and directs nothing any more; what comes in is still answered. */
  void close() {
    closed = true;
    lease.close();
    if (serverDiscovery != null) {
      serverDiscovery.close();
    }
    voters.close();
    configWatcher.close();
    committedConfig.close();
    committedDecommissions.close();
    committedStoreVoters.close();
  }
}
