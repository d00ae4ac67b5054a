package elmsail.controlplane;

import elmsail.config.PlatformClient;
import elmsail.config.watch.ConfigWatcher;
import elmsail.config.watch.StoreStatus;
import elmsail.config.watch.WatchServer;
import elmsail.consensus.Register;
import elmsail.consensus.RegisterClient;
import elmsail.consensus.VoterSets;
import elmsail.rpc.RpcClient;
import elmsail.rpc.RequestHandlers;
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

  private static final long CONFIG_EVERY_MS = 300;
  private static final long OTHERS_EVERY_MS = 1_000;
  private static final long TICK_MS = 200;

  /** A gateway is told to the others while it was heard within so long. */
  private static final long GATEWAY_LISTED_MS = 4_000;

  /** A store is heard at least so often; the others hear of changes at once anyway. */
  private static final long STORE_WAIT_MS = 400;

  private final Settings settings;
  private final Timers timers;
  private final RequestHandlers answering;
  private final ControlPlaneVoters voters;
  private final Register register;
  private final CommittedValue config;
  private final CommittedValue retiring;
  private final CommittedValue founded;
  private final HeartbeatTable heard = new HeartbeatTable();
  private final HeartbeatTable headHeard = new HeartbeatTable(ControlPlaneVoters.ROLE);
  private final PeerNotices notices;
  private final WatchServer sources;
  private final ConfigWatcher watcher;
  final SingletonLease lease;
  private final ServerDiscovery list;
  private final StoreFounding founding;
  private final VoterPlacement storePlacement;
  private final VoterPlacement headPlacement;
  private final LeaseVoter voter;
  private final HeardStoresInquiry inquiry;
  private final HttpHandler operators;
  private VoterSet storeSet = new VoterSet();
  private VoterSet headKnown = new VoterSet();
  private List<String> gateways = List.of();
  private final ControlPlaneCounters counters;
  private boolean closed;

  /**
   * Makes one; it answers and asks nothing before {@link #start()}.
   *
   * @param records null where this process has no disk
   * @param platform for the list of servers
   * @param who drawn at random at each start
   * @param metrics the process's figures and invariants
   */
  ControlPlaneNode(
      Settings settings,
      Timers timers,
      RpcClient caller,
      RequestHandlers answering,
      RecordStore records,
      HttpClient platform,
      long who,
      ProcessMetrics metrics) {
    this.settings = settings;
    counters = new ControlPlaneCounters(metrics.counters());
    this.timers = timers;
    this.answering = answering;
    String own = settings.rpcAddress();
    voters = new ControlPlaneVoters(settings, timers, caller, answering, records, who, metrics);
    register =
        new RegisterClient(ControlPlaneVoters.SET, caller, timers, voters, who, own, address -> 1);
    config = new CommittedValue(register, ConfigOrderHandler.KEY, timers, CONFIG_EVERY_MS);
    retiring = new CommittedValue(register, DecommissionList.KEY, timers, OTHERS_EVERY_MS);
    founded = new CommittedValue(register, StoreFounding.KEY, timers, OTHERS_EVERY_MS);
    notices = new PeerNotices(caller, voters::current, own);
    sources = new WatchServer(timers);
    watcher =
        new ConfigWatcher(
            caller,
            timers,
            settings,
            ControlPlaneVoters.ROLE,
            records == null ? who : records.instanceId(),
            () -> new StoreStatus(voters.voting(), false, new VoterSet()),
            null);
    lease = new SingletonLease(caller, timers, register, voters::current, own, who);
    list = settings.platform() == null ? null : discovery(platform);
    int slots = 2 * settings.toleratedMachineLosses() + 1;
    PlacementController storeController = new PlacementController(slots, timers.now());
    founding = new StoreFounding(register, founded, storeController, heard);
    storePlacement = new VoterPlacement(StoreNode.SET, heard, storeController);
    headPlacement =
        new VoterPlacement(
            ControlPlaneVoters.SET,
            headHeard,
            new PlacementController(slots, PlacementController.HEAD_GONE_MS, timers.now()));
    boolean firstProcess = records != null && settings.firstStart() && records.isNew();
    voter = new LeaseVoter(timers.now(), firstProcess);
    inquiry = new HeardStoresInquiry(caller, voters::current, own);
    DecommissionHandler retire =
        new DecommissionHandler(
            register, timers, heard, () -> storeSet, retiring, config.contact(), slots, inquiry);
    operators =
        new AnswerAgeLimit(
            timers,
            new OperatorApi(
                orders(ConfigOrderHandler.Call.REPLACE, ConfigOrder::replacement),
                orders(ConfigOrderHandler.Call.AMEND, ConfigOrder::amendment),
                new ReadConfigHandler(register, config),
                new VoterRedirect(retire, settings, voters, watcher)));
    gauges(metrics.counters());
  }

  private ConfigOrderHandler orders(ConfigOrderHandler.Call call, ConfigOrder.Reader reader) {
    return new ConfigOrderHandler(
        register, call, reader, timers, config, edition -> notices.tell("decided"), counters);
  }

  private ServerDiscovery discovery(HttpClient platform) {
    return new ServerDiscovery(
        new PlatformClient(platform, settings.platform().address(), timers),
        settings.platform().maxCallsPerSecond(),
        timers,
        sources,
        lease::term,
        counters);
  }

  private void gauges(Counters figures) {
    figures.registerGauge("control_lease_held", () -> lease.term() > 0 ? 1 : 0);
    figures.registerGauge("control_in_contact", () -> config.contact().current() ? 1 : 0);
    figures.registerGauge("control_store_voters_voting", storePlacement.redundancy()::voting);
    figures.registerGauge("control_head_voters_voting", headPlacement.redundancy()::voting);
  }

  void start() {
    config.whenNewer(this::taken);
    retiring.whenNewer(value -> notices.tell("retire"));
    founded.whenNewer(value -> learnStores(VoterSetValue.of(value)));
    sources.setViewFactory(this::view);
    answering.register(PullRequest.class, this::pulled);
    answering.register(OpaqueMessage.class, notices::handle);
    notices.on("decided", config::refresh);
    notices.on("retire", retiring::refresh);
    notices.answer(HeardStoresInquiry.KIND, inquiry::answer);
    voters.whenTakenOver(() -> voter.tookOver(timers.now()));
    SingletonLease.vote(answering, timers, voter, voters::voting);
    watcher.addListener(this::relay);
    watcher.setJoinListener(voters::join);
    voters.start(answering);
    config.refresh();
    retiring.refresh();
    founded.refresh();
    lease.start();
    if (list != null) {
      list.start();
    }
    watcher.start();
    tick();
  }

  HttpHandler operators() {
    return operators;
  }

  /** The newest value of the key "timetable" that was seen decided here; null before the first. */
  byte[] committedConfig() {
    return config.value();
  }

  /** This node's part in the set "head". */
  ControlPlaneVoters voters() {
    return voters;
  }

  /** Whether, and since when, the set "head" may lose its next member, as far as seen here. */
  RedundancyMonitor headRedundancy() {
    return headPlacement.redundancy();
  }

  private CompletableFuture<PullResponse> pulled(PullRequest request) {
    heard.note(request, timers.now());
    headHeard.note(request, timers.now());
    if (HeartbeatTable.STORE_ROLE.equals(request.role) && request.jobStoreVoters != null) {
      learnStores(request.jobStoreVoters);
    }
    if (closed || !config.contact().current()) {
      counters.pullsNoContact.add(1);
      return CompletableFuture.failedFuture(
          new ElmsailException(ErrorCode.NOT_A_VOTER, "no contact with a majority"));
    }
    if (HeartbeatTable.STORE_ROLE.equals(request.role)) {
      request.maxWaitMs = Math.min(request.maxWaitMs, STORE_WAIT_MS);
    }
    return sources
        .watch(request)
        .thenApply(config.contact()::checked)
        .whenComplete(this::pullEnded);
  }

  private void pullEnded(PullResponse answer, Throwable failed) {
    (failed == null ? counters.pullsAnswered : counters.pullsNoContact).add(1);
  }

  private void taken(byte[] value) {
    ConfigHistory now = ConfigHistory.of(value);
    sources.setConfig(now.edition(), now.bytes());
    try {
      watcher.offerConfig(now.bytes());
    } catch (ElmsailException e) {
      LOG.error(
          "configuration {} was committed and cannot be read here: {}",
          now.edition(),
          e.getMessage());
    }
  }

  /** What other control-plane nodes know that is newer goes on to whoever asks here. */
  private void relay() {
    if (watcher.configBytes() != null) {
      sources.setConfig(watcher.config().edition(), watcher.configBytes());
    }
    if (watcher.serverListBytes() != null) {
      sources.setServers(
          watcher.serverListEpoch(), watcher.serverListVersion(), watcher.serverListBytes(), watcher.serverListFetchedAtMs());
    }
    learnStores(watcher.view().jobStoreVoters);
    if (!watcher.view().controlPlaneVoters.voters.isEmpty()) {
      voters.learn(watcher.view().controlPlaneVoters);
    }
  }

  private void learnStores(VoterSet newer) {
    VoterSet merged = VoterSets.merge(storeSet, newer);
    if (merged != storeSet) {
      storeSet = merged;
      sources.onViewChanged();
    }
  }

  private ClusterView view(PullRequest request) {
    ClusterView view = new ClusterView();
    view.controlPlaneVoters = voters.current();
    view.jobStoreVoters = storeSet;
    view.gateways = gateways;
    if (mayDirect()) {
      storePlacement.tell(request, view);
      headPlacement.tell(request, view);
    }
    return view;
  }

  /** Whether this process directs the placement of voters at this very moment. */
  private boolean mayDirect() {
    return lease.term() > 0
        && config.contact().current()
        && retiring.contact().within(DecommissionHandler.LIST_KNOWN_WITHIN_MS);
  }

  private void tick() {
    if (closed) {
      return;
    }
    timers.schedule(TICK_MS, this::tick);
    long now = timers.now();
    boolean reads = config.contact().current();
    boolean directs = mayDirect();
    if (directs && storeSet.voters.isEmpty() && founding.open() && voters.born()) {
      founding.attempt(now);
    }
    boolean storeOrdered =
        storePlacement.look(storeSet, DecommissionList.of(retiring.value()), directs, directs, now);
    headHeard.note(voters.heartbeat(), now);
    boolean headOrdered =
        headPlacement.look(voters.current(), Set.of(), reads && voters.voting(), directs, now);
    List<String> gatewaysNow = heard.gateways(now, GATEWAY_LISTED_MS);
    boolean headMoved = !VoterSets.areEqual(headKnown, voters.current());
    counters.joinsDirected.add(storeOrdered && storePlacement.directs() ? 1 : 0);
    counters.joinsDirected.add(headOrdered && headPlacement.directs() ? 1 : 0);
    if (storeOrdered || headMoved || headOrdered || !gatewaysNow.equals(gateways)) {
      headKnown = voters.current();
      gateways = gatewaysNow;
      sources.onViewChanged();
    }
    relay();
  }

  /** Asks and directs nothing any more; what comes in is still answered. */
  void close() {
    closed = true;
    lease.close();
    if (list != null) {
      list.close();
    }
    voters.close();
    watcher.close();
    config.close();
    retiring.close();
    founded.close();
  }
}
