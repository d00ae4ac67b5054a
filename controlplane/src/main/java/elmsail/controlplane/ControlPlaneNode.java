package elmsail.controlplane;

import elmsail.config.PlatformClient;
import elmsail.config.watch.ConfigWatcher;
import elmsail.config.watch.PeerRole;
import elmsail.config.watch.StoreStatus;
import elmsail.config.watch.WatchServer;
import elmsail.consensus.Register;
import elmsail.consensus.RegisterClient;
import elmsail.rpc.RequestHandlers;
import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.OpaqueMessage;
import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.PullResponse;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.Counters;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Settings;
import elmsail.runtime.Timers;
import elmsail.runtime.http.HttpClient;
import elmsail.runtime.http.HttpHandler;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A control-plane node without its sockets. It wires the managers, each of which owns one kind of
 * state, and answers the pulls of other processes. Runs on the event loop.
 *
 * <ul>
 *   <li>{@link ConfigurationManager}: the routing configuration,
 *   <li>{@link ServerListManager}: the list of model servers,
 *   <li>{@link VoterSetManager}: the two voter sets and the heartbeats,
 *   <li>{@link DecommissionManager}: the stores to decommission,
 *   <li>{@link FleetSizeManager}: the number of model servers in each zone, if the settings list
 *       this duty of the platform,
 *   <li>{@link UsageManager}: the usage reports, if the settings list this duty of the platform.
 * </ul>
 */
final class ControlPlaneNode {
  private static final long TICK_INTERVAL_MS = 200;

  /** Bounds a store's pull wait, hence its heartbeat interval; a change ends the wait at once. */
  private static final long MAX_STORE_PULL_WAIT_MS = 400;

  private final NodeEnvironment environment;
  private final Timers timers;
  private final ControlPlaneCounters counters;
  private final ControlPlaneVoters voters;
  private final PeerNotifier peerNotifier;
  private final WatchServer watchServer;
  private final ConfigWatcher configWatcher;
  private final SingletonLease lease;
  private final LeaseVoter leaseVoter;
  private final ConfigurationManager configurationManager;
  private final DecommissionManager decommissionManager;
  private final VoterSetManager voterSetManager;
  private final ServerListManager serverListManager;
  private final Optional<FleetSizeManager> fleetSizeManager;
  private final Optional<UsageManager> usageManager;
  private final HttpHandler operatorApi;
  private boolean closed;

  /**
   * Creates a node that sends nothing before {@link #start()}.
   *
   * @param environment of this process
   * @param platform HTTP client of the platform that lists the model servers
   */
  ControlPlaneNode(NodeEnvironment environment, HttpClient platform) {
    this.environment = environment;
    timers = environment.timers();
    counters = new ControlPlaneCounters(environment.metrics().counters());
    RpcClient rpcClient = environment.rpcClient();
    String localAddress = environment.localAddress();
    voters = new ControlPlaneVoters(environment);
    Register register = createRegister();
    peerNotifier = new PeerNotifier(rpcClient, voters::current, localAddress);
    watchServer = new WatchServer(timers);
    configWatcher = createConfigWatcher();
    lease = new SingletonLease(environment, register, voters::current);
    leaseVoter = new LeaseVoter(timers.now(), isFirstProcess());
    configurationManager =
        new ConfigurationManager(
            register, timers, peerNotifier, watchServer, configWatcher, counters);
    KnownVoterSet jobStoreVoters = new KnownVoterSet(watchServer::onViewChanged);
    HeartbeatTable storeHeartbeats = new HeartbeatTable(PeerRole.STORE);
    decommissionManager =
        new DecommissionManager(
            environment,
            register,
            storeHeartbeats,
            jobStoreVoters,
            configurationManager.quorumContact(),
            peerNotifier,
            new StoreHeartbeatQuery(rpcClient, voters::current, localAddress));
    voterSetManager =
        new VoterSetManager(
            environment,
            register,
            new VoterSetManager.Membership(voters, jobStoreVoters, storeHeartbeats),
            lease,
            configurationManager.quorumContact(),
            decommissionManager,
            counters);
    serverListManager =
        new ServerListManager(watchServer, configWatcher, createServerDiscovery(platform));
    Optional<PlatformDutyClient> dutyClient = createDutyClient(platform);
    usageManager = createUsageManager(register, dutyClient);
    fleetSizeManager = createFleetSizeManager(dutyClient);
    operatorApi = createOperatorApi();
    registerGauges();
  }

  private Register createRegister() {
    return new RegisterClient(
        ControlPlaneVoters.VOTER_SET_NAME,
        environment.rpcClient(),
        timers,
        voters,
        environment.processId(),
        environment.localAddress(),
        address -> 1);
  }

  private ConfigWatcher createConfigWatcher() {
    return new ConfigWatcher(
        environment.rpcClient(),
        timers,
        environment.settings(),
        PeerRole.CONTROL_PLANE,
        environment.instanceId(),
        () -> new StoreStatus(voters.isVoting(), false, new VoterSet()),
        null);
  }

  /** Whether no earlier process on this disk or earlier cluster start can have granted a lease. */
  private boolean isFirstProcess() {
    return environment.hasDisk()
        && environment.settings().firstStart()
        && environment.records().isNew();
  }

  private Optional<ServerDiscovery> createServerDiscovery(HttpClient platform) {
    Settings.Platform platformSettings = environment.settings().platform();
    if (platformSettings == null) {
      return Optional.empty();
    }
    return Optional.of(
        new ServerDiscovery(
            new PlatformClient(platform, platformSettings.address(), timers),
            platformSettings.maxCallsPerSecond(),
            timers,
            watchServer,
            lease::term,
            counters));
  }

  /** The client for the calls of all duties; empty if the platform expects no duties. */
  private Optional<PlatformDutyClient> createDutyClient(HttpClient platform) {
    Settings settings = environment.settings();
    if (settings.platform() == null || settings.platform().duties().isEmpty()) {
      return Optional.empty();
    }
    DutyCounters dutyCounters = new DutyCounters(environment.metrics().counters());
    return Optional.of(new PlatformDutyClient(platform, settings, timers, lease, dutyCounters));
  }

  private Optional<UsageManager> createUsageManager(
      Register register, Optional<PlatformDutyClient> dutyClient) {
    return dutyClient
        .filter(client -> UsageManager.isEnabled(environment.settings()))
        .map(client -> new UsageManager(environment, lease, register, voters::current, client));
  }

  private Optional<FleetSizeManager> createFleetSizeManager(
      Optional<PlatformDutyClient> dutyClient) {
    return dutyClient
        .filter(client -> FleetSizeManager.isEnabled(environment.settings()))
        .map(client -> new FleetSizeManager(timers, configWatcher, client, lease));
  }

  private HttpHandler createOperatorApi() {
    DecommissionHandler decommissionHandler = new DecommissionHandler(decommissionManager);
    return new StaleReplyFilter(
        timers,
        new OperatorApi(
            configurationManager.replaceHandler(),
            configurationManager.amendHandler(),
            configurationManager.readHandler(),
            new VoterRedirect(decommissionHandler, environment.settings(), voters, configWatcher)));
  }

  private void registerGauges() {
    Counters gauges = environment.metrics().counters();
    QuorumContact quorumContact = configurationManager.quorumContact();
    gauges.registerGauge("control_lease_held", () -> lease.term() > 0 ? 1 : 0);
    gauges.registerGauge("control_in_contact", () -> quorumContact.isCurrent() ? 1 : 0);
    configurationManager.registerGauges(gauges);
    voterSetManager.registerGauges(gauges);
  }

  /**
   * Registers the handlers of other processes' calls and begins to read the register, to pull and
   * to compete for the lease.
   */
  void start() {
    registerListeners();
    RequestHandlers handlers = environment.handlers();
    handlers.register(PullRequest.class, this::onPull);
    handlers.register(OpaqueMessage.class, peerNotifier::handle);
    SingletonLease.registerVoteHandler(handlers, timers, leaseVoter, voters::isVoting);
    voters.start(handlers);
    configurationManager.refresh();
    decommissionManager.refresh();
    voterSetManager.refresh();
    lease.tick();
    serverListManager.start();
    fleetSizeManager.ifPresent(FleetSizeManager::start);
    usageManager.ifPresent(UsageManager::start);
    configWatcher.start();
    tick();
  }

  private void registerListeners() {
    configurationManager.registerNotifications();
    decommissionManager.registerNotifications();
    voterSetManager.addListeners();
    watchServer.setViewFactory(voterSetManager::view);
    voters.addTakeOverListener(() -> leaseVoter.onSlotTakenOver(timers.now()));
    configWatcher.addListener(this::relayFromPeers);
    configWatcher.setJoinListener(voters::join);
  }

  /** Adopts the new settings' seed addresses. */
  void onSettingsChanged(Settings settings) {
    configWatcher.onSettingsChanged(settings);
    voters.onSettingsChanged(settings);
  }

  /** Handles the operators' calls. */
  HttpHandler operatorApi() {
    return operatorApi;
  }

  /** This node's newest committed register value of the configuration; null before the first. */
  byte[] committedConfigBytes() {
    return configurationManager.committedValue();
  }

  /** This node's part in the control-plane voters. */
  ControlPlaneVoters voters() {
    return voters;
  }

  /** The term in which this node holds the singleton lease at this moment; 0 if it does not. */
  long leaseTerm() {
    return lease.term();
  }

  /** The singleton lease as this node sees it. */
  SingletonLease singletonLease() {
    return lease;
  }

  /** Number of pulls rejected since the start for lack of contact with a majority. */
  long pullsRefused() {
    return counters.pullsRefused.value();
  }

  /** Reports whether, and since when, some control-plane voters are missing. */
  RedundancyMonitor controlPlaneRedundancy() {
    return voterSetManager.controlPlaneRedundancy();
  }

  /** Answers a pull only if in contact with a majority both before and after the wait. */
  private CompletableFuture<PullResponse> onPull(PullRequest request) {
    voterSetManager.onHeartbeat(request);
    fleetSizeManager.ifPresent(manager -> manager.onPull(request));
    QuorumContact quorumContact = configurationManager.quorumContact();
    if (closed || !quorumContact.isCurrent()) {
      counters.pullsRefused.add(1);
      return CompletableFuture.failedFuture(
          new ElmsailException(ErrorCode.NOT_A_VOTER, "no contact with a majority"));
    }
    if (PeerRole.STORE.isRoleOf(request)) {
      request.maxWaitMs = Math.min(request.maxWaitMs, MAX_STORE_PULL_WAIT_MS);
    }
    return watchServer
        .watch(request)
        .thenApply(quorumContact::requireCurrent)
        .thenApply(this::confirmConfig)
        .whenComplete(this::countPull);
  }

  /**
   * Sets how long ago a majority confirmed that nothing newer than the response's configuration is
   * committed. Runs in the same event-loop task that built the response: a read that completed in
   * between would confirm a version that the response does not carry.
   */
  private PullResponse confirmConfig(PullResponse response) {
    response.configConfirmedAgeMs = configurationManager.quorumContact().ageMs();
    return response;
  }

  private void countPull(PullResponse response, Throwable failure) {
    (failure == null ? counters.pullsAnswered : counters.pullsRefused).add(1);
  }

  /** Adopts and publishes what other control-plane nodes have published, where it is newer. */
  private void relayFromPeers() {
    configurationManager.relayFromPeers();
    serverListManager.relayFromPeers();
    giveUpLeaseIfServerListHasHigherTerm();
    voterSetManager.learn(configWatcher.view());
  }

  /** A server list published in a higher term proves that another process got the lease later. */
  private void giveUpLeaseIfServerListHasHigherTerm() {
    long term = lease.term();
    if (term > 0 && configWatcher.serverListEpoch() > term) {
      lease.onFenced(term);
    }
  }

  private void tick() {
    if (closed) {
      return;
    }
    timers.schedule(TICK_INTERVAL_MS, this::tick);
    if (voterSetManager.tick(timers.now())) {
      watchServer.onViewChanged();
    }
    relayFromPeers();
  }

  /** Releases the lease and stops reading and pulling; later calls are rejected or fail. */
  void close() {
    closed = true;
    lease.close();
    serverListManager.close();
    fleetSizeManager.ifPresent(FleetSizeManager::close);
    usageManager.ifPresent(UsageManager::close);
    voters.close();
    configWatcher.close();
    configurationManager.close();
    decommissionManager.close();
    voterSetManager.close();
  }
}
