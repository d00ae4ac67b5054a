package elmsail.config.watch;

import elmsail.config.ClusterState;
import elmsail.config.PlatformClient;
import elmsail.config.RoutingConfig;
import elmsail.config.RoutingConfigReader;
import elmsail.config.ServerEntry;
import elmsail.consensus.VoterSets;
import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.ClusterView;
import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.PullResponse;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Settings;
import elmsail.runtime.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;

/**
 * Holds a pull open at up to three control-plane nodes (stores and control-plane nodes at all that
 * vote) and keeps the newest that any of them told. Everything on the loop; {@code whenChanged}
 * runs inside the call that changed something.
 */
public final class ConfigWatcher implements ClusterState {
  private static final long LONG_POLL_MS = 1_000;
  private static final long FRESH_LIST_AGE_MS = 1_500;

  /** An epoch above all: nothing is newer. */
  private static final long EPOCH_ABOVE_ALL = Long.MAX_VALUE;

  private static final long REFRESH_INTERVAL_MS = 1_000;

  /** Told that this process shall claim a voter slot of the store set with an epoch. */
  public interface JoinListener {
    /** Take over that slot of the store set under that epoch; may be repeated. */
    void join(int slot, int epoch);
  }

  private final Timers timers;
  private final Settings settings;
  private final String role;
  private final long instanceId;
  private final Supplier<StoreStatus> storeStatus;
  private final FallbackDiscovery fallbackDiscovery;
  private final WatchStreams streams;
  private final ServerListCache servers = new ServerListCache();
  private final List<Runnable> listeners = new ArrayList<>();
  private JoinListener joinListener = (slot, epoch) -> {};
  private RoutingConfig config;
  private byte[] configBytes;
  private ClusterView view = new ClusterView();
  private Timers.Timer refresh;
  private long rejectedUpdates;

  /**
   * Asks nothing before {@code start}.
   *
   * @param role "gateway", "store" or "controlplane"
   * @param storeStatus what a store tells of itself, {@code StoreStatus.NONE} in others
   * @param platform for a gateway that hears no list in time; null: never asked
   */
  public ConfigWatcher(
      RpcClient caller,
      Timers timers,
      Settings settings,
      String role,
      long instanceId,
      Supplier<StoreStatus> storeStatus,
      PlatformClient platform) {
    this.timers = timers;
    this.settings = settings;
    this.role = role;
    this.instanceId = instanceId;
    this.storeStatus = storeStatus;
    streams =
        new WatchStreams(
            caller, timers, settings, this::newRequest, (stream, response) -> onResponse(response));
    fallbackDiscovery =
        platform == null || settings.platform() == null || !role.equals("gateway")
            ? null
            : new FallbackDiscovery(
                timers,
                platform,
                settings.platform().maxCallsPerSecond(),
                new Random(instanceId),
                this::serverListAgeMs,
                () -> view.gateways.size(),
                this::onServersFetched);
  }

  /** Begins to ask, once. */
  public void start() {
    streams.selectUpstreams(view.controlPlaneVoters);
    refresh = timers.schedule(REFRESH_INTERVAL_MS, this::refresh);
    if (fallbackDiscovery != null) {
      fallbackDiscovery.start();
    }
  }

  /** Takes the seeds of the changed settings; all else stays as it was. */
  public void onSettingsChanged(Settings newSettings) {
    streams.seedAddresses(newSettings);
    streams.selectUpstreams(view.controlPlaneVoters);
  }

  /** Asks nothing more; what is known stays. */
  public void close() {
    if (refresh != null) {
      refresh.cancel();
    }
    if (fallbackDiscovery != null) {
      fallbackDiscovery.close();
    }
    streams.close();
  }

  /** Whoever shall claim a voter slot; called each time that a control-plane node says so. */
  public void setJoinListener(JoinListener newJoinListener) {
    joinListener = newJoinListener;
  }

  @Override
  public void addListener(Runnable listener) {
    listeners.add(listener);
  }

  @Override
  public RoutingConfig config() {
    return config;
  }

  /** As the operator sent it, null before the first. */
  public byte[] configBytes() {
    return configBytes;
  }

  @Override
  public List<ServerEntry> servers() {
    return servers.servers();
  }

  @Override
  public long serverListAgeMs() {
    return servers.ageMs(timers.now());
  }

  /** Epoch of the pulled list; 0 before the first. */
  public long serverListEpoch() {
    return servers.epoch();
  }

  /** Version of the pulled list within its epoch; 0 before the first. */
  public long serverListVersion() {
    return servers.version();
  }

  /** The pulled list as it came, null before the first. */
  public byte[] serverListBytes() {
    return servers.encoded();
  }

  /** When the pulled list was taken from the platform, steady ms; only where there are bytes. */
  public long serverListFetchedAtMs() {
    return servers.watchedFetchedAtMs();
  }

  @Override
  public ClusterView view() {
    return view;
  }

  /**
   * How long ago the control-plane node at this inner address answered, in ms; Long.MAX_VALUE:
   * never in this instance.
   */
  public long lastResponseAgeMs(String address) {
    return streams.lastResponseAgeMs(address);
  }

  /** Inner addresses of the control-plane nodes that are asked now. */
  public List<String> upstreams() {
    return streams.addresses();
  }

  /** Asks that failed, and answers that could not be used. */
  public long failedRequests() {
    return streams.failedRequests();
  }

  /** Configurations and lists that came and could not be read. */
  public long rejectedUpdates() {
    return rejectedUpdates;
  }

  /**
   * A configuration that is decided, known by another way than a pull; passed over unless newer.
   */
  public void offerConfig(byte[] bytes) {
    if (applyConfig(bytes, RoutingConfigReader.read(bytes))) {
      notifyListeners();
    }
  }

  /** The list of this process itself, if it holds the duty; as {@code UpdateSources.setServers}. */
  public void offerServers(long epoch, long version, byte[] bytes, long fetchedAtMs) {
    if (servers.offerWatched(epoch, version, bytes, fetchedAtMs)) {
      notifyListeners();
    }
  }

  private void refresh() {
    streams.selectUpstreams(view.controlPlaneVoters);
    if (updateView(view.controlPlaneVoters, view.jobStoreVoters)) {
      notifyListeners();
    }
    refresh = timers.schedule(REFRESH_INTERVAL_MS, this::refresh);
  }

  private PullRequest newRequest(WatchStream stream) {
    PullRequest request = new PullRequest();
    StoreStatus status = storeStatus.get();
    request.machine = settings.machine();
    request.address = settings.rpcAddress();
    request.zone = settings.zone();
    request.role = role;
    request.instanceId = instanceId;
    request.voting = status.voting();
    request.drained = status.drained();
    request.jobStoreVoters = status.jobStoreVoters();
    request.configVersion = configVersion();
    request.serverListEpoch = wantsList(stream) ? servers.epoch() : EPOCH_ABOVE_ALL;
    request.serverListVersion = servers.version();
    request.viewVersion = stream.viewVersion;
    request.maxWaitMs = LONG_POLL_MS;
    request.hasDisk = settings.dataDir() != null;
    return request;
  }

  /**
   * Bytes between zones are priced, and three control-plane nodes have the same list: a gateway
   * takes it from the nearest while that keeps it young, and from the others its age only.
   * Control-plane nodes take it from all, so that no two wait for each other. Stores send no
   * requests to servers and take none.
   */
  private boolean wantsList(WatchStream stream) {
    if (!role.equals("gateway")) {
      return !role.equals("store");
    }
    WatchStream nearest = streams.nearest();
    return nearest == null || nearest == stream || serverListAgeMs() > FRESH_LIST_AGE_MS;
  }

  /** False if a part could not be read; the other parts are taken all the same. */
  private boolean onResponse(PullResponse response) {
    long now = timers.now();
    boolean complete = true;
    boolean changed = false;
    if (response.config != null && response.configVersion > configVersion()) {
      try {
        changed =
            applyConfig(response.config, decodeConfig(response.configVersion, response.config));
      } catch (ElmsailException e) {
        complete = false;
      }
    }
    if (response.serverListAgeMs >= 0) {
      try {
        changed |=
            servers.offerWatched(
                response.serverListEpoch,
                response.serverListVersion,
                response.servers,
                now - response.serverListAgeMs);
      } catch (ElmsailException e) {
        complete = false;
      }
    }
    rejectedUpdates += complete ? 0 : 1;
    if (response.view != null) {
      changed |= mergeView(response.view);
    }
    if (changed) {
      notifyListeners();
    }
    if (response.view != null && response.view.joinSlot >= 0) {
      joinListener.join(response.view.joinSlot, response.view.joinEpoch);
    }
    return complete;
  }

  private long configVersion() {
    return config == null ? 0 : config.version();
  }

  private static RoutingConfig decodeConfig(long edition, byte[] bytes) {
    RoutingConfig decoded = RoutingConfigReader.read(bytes);
    if (decoded.version() != edition) {
      throw new ElmsailException(
          ErrorCode.MALFORMED, "told edition " + edition + ", came " + decoded.version());
    }
    return decoded;
  }

  private boolean applyConfig(byte[] bytes, RoutingConfig decoded) {
    if (decoded.version() <= configVersion()) {
      return false;
    }
    config = decoded;
    configBytes = bytes;
    return true;
  }

  private boolean mergeView(ClusterView received) {
    return updateView(
        VoterSets.merge(view.controlPlaneVoters, received.controlPlaneVoters),
        VoterSets.merge(view.jobStoreVoters, received.jobStoreVoters));
  }

  /** Whether anything of the view is another now. */
  private boolean updateView(VoterSet controlPlaneVoters, VoterSet jobStoreVoters) {
    ClusterView merged = new ClusterView();
    merged.controlPlaneVoters = controlPlaneVoters;
    merged.jobStoreVoters = jobStoreVoters;
    List<List<String>> gatewayLists = streams.recentGateways();
    merged.gateways = gatewayLists.isEmpty() ? view.gateways : ClusterViews.union(gatewayLists);
    if (ClusterViews.sameMembers(view, merged)) {
      return false;
    }
    if (!VoterSets.areEqual(view.controlPlaneVoters, controlPlaneVoters)) {
      timers.execute(() -> streams.selectUpstreams(view.controlPlaneVoters));
    }
    view = merged;
    return true;
  }

  private void onServersFetched(List<ServerEntry> fetchedServers, long fetchedAtMs) {
    if (servers.offerOwn(fetchedServers, fetchedAtMs)) {
      notifyListeners();
    }
  }

  private void notifyListeners() {
    for (Runnable listener : List.copyOf(listeners)) {
      listener.run();
    }
  }
}
