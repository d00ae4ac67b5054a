package elmsail.config.watch;

import elmsail.config.ClusterState;
import elmsail.config.PlatformClient;
import elmsail.config.RoutingConfig;
import elmsail.config.ServerEntry;
import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.ClusterView;
import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.PullResponse;
import elmsail.rpc.messages.ServiceDemand;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.Settings;
import elmsail.runtime.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;

/**
 * Watches the control-plane nodes for the routing configuration, the server list and the cluster
 * membership, and keeps the newest of each that any of them reports.
 *
 * <p>A gateway watches up to three control-plane nodes; a store or a control-plane node watches all
 * control-plane voters. The received data is kept by {@link ConfigCache}, {@link ServerListCache}
 * and {@link ClusterViewCache}; {@link WatchStreams} sends the long polls. A gateway whose server
 * list is too old fetches a list directly from the platform ({@link FallbackDiscovery}).
 *
 * <p>Not thread-safe: all methods and callbacks run on the process's event loop. Listeners run
 * inside the call that makes the change.
 */
public final class ConfigWatcher implements ClusterState {
  private static final long REFRESH_INTERVAL_MS = 1_000;

  /**
   * If the latest confirmation is older than this, a new confirmation is requested urgently. The
   * age stays below this value in normal operation, even with a single stream: its maximum is two
   * long polls of 1,000 ms each, plus the age of the node's last read, which is at most 300 ms and
   * a round trip. The value plus the refresh interval and the time of one response is below {@code
   * revoke_ms}.
   */
  private static final long CONFIRMATION_OVERDUE_MS = 2_500;

  /** Called when a control-plane node requests that this process joins its voter set. */
  @FunctionalInterface
  public interface JoinListener {
    /**
     * Takes over a voter slot of the set that this process belongs to.
     *
     * @param slot index of the slot in the voter set
     * @param epoch the epoch with which to take the slot over; the same call may be repeated
     */
    void join(int slot, int epoch);
  }

  private final Timers timers;
  private final WatchRequestFactory requests;
  private final FallbackDiscovery fallbackDiscovery;
  private final boolean needsConfirmation;
  private final WatchStreams streams;
  private final ConfigCache configs = new ConfigCache();
  private final ConfigConfirmation confirmation = new ConfigConfirmation();
  private final ServerListCache servers = new ServerListCache();
  private final ClusterViewCache views;
  private final List<Runnable> listeners = new ArrayList<>();
  private JoinListener joinListener = (slot, epoch) -> {};
  private Timers.Timer refresh;
  private long rejectedUpdates;

  /**
   * Creates a watcher that sends nothing before {@link #start}.
   *
   * @param instanceId identifies the incarnation of this process; sent with each request
   * @param storeStatus the status that a store reports; {@code StoreStatus.NONE} in other processes
   * @param platform for a gateway's fallback discovery; null if there is none
   */
  public ConfigWatcher(
      RpcClient rpcClient,
      Timers timers,
      Settings settings,
      PeerRole role,
      long instanceId,
      Supplier<StoreStatus> storeStatus,
      PlatformClient platform) {
    this.timers = timers;
    requests = new WatchRequestFactory(settings, role, instanceId, storeStatus);
    needsConfirmation =
        role == PeerRole.GATEWAY && settings.bounds() != null && settings.bounds().revokeMs() > 0;
    streams =
        new WatchStreams(
            rpcClient,
            timers,
            settings,
            this::newRequest,
            (stream, response, requestedAtMs) -> onResponse(response, requestedAtMs));
    views = new ClusterViewCache(() -> timers.execute(this::selectUpstreams));
    fallbackDiscovery =
        platform == null || settings.platform() == null || role != PeerRole.GATEWAY
            ? null
            : new FallbackDiscovery(
                timers,
                platform,
                settings.platform().maxCallsPerSecond(),
                new Random(instanceId),
                this::serverListAgeMs,
                () -> view().gateways.size(),
                this::onServersFetched);
  }

  /** Opens the watch streams. To be called once. */
  public void start() {
    selectUpstreams();
    refresh = timers.schedule(REFRESH_INTERVAL_MS, this::refresh);
    if (fallbackDiscovery != null) {
      fallbackDiscovery.start();
    }
  }

  /** Applies the seed addresses of the changed settings; all other settings stay unchanged. */
  public void onSettingsChanged(Settings newSettings) {
    streams.setSeeds(newSettings);
    selectUpstreams();
  }

  /** Closes all streams and cancels all timers; the received data stays readable. */
  public void close() {
    if (refresh != null) {
      refresh.cancel();
    }
    if (fallbackDiscovery != null) {
      fallbackDiscovery.close();
    }
    streams.close();
  }

  /**
   * Sets the single listener that is called whenever a response of a control-plane node requests
   * that this process joins a voter set.
   */
  public void setJoinListener(JoinListener newJoinListener) {
    joinListener = newJoinListener;
  }

  /** Sets the supplier of a gateway's open requests at servers, reported with each request. */
  public void setDemandSource(Supplier<List<ServiceDemand>> demand) {
    requests.setDemandSource(demand);
  }

  @Override
  public void addListener(Runnable listener) {
    listeners.add(listener);
  }

  @Override
  public RoutingConfig config() {
    return configs.config();
  }

  @Override
  public long configConfirmedAgeMs() {
    return confirmation.ageMs(timers.now());
  }

  /** The configuration as the bytes that the operator sent; null before the first. */
  public byte[] configBytes() {
    return configs.bytes();
  }

  @Override
  public List<ServerEntry> servers() {
    return servers.servers();
  }

  @Override
  public long serverListAgeMs() {
    return servers.ageMs(timers.now());
  }

  /** Epoch of the watched list; 0 before the first. */
  public long serverListEpoch() {
    return servers.epoch();
  }

  /** Version of the watched list within its epoch; 0 before the first. */
  public long serverListVersion() {
    return servers.version();
  }

  /** The watched list as it was received; null before the first. */
  public byte[] serverListBytes() {
    return servers.encoded();
  }

  /**
   * When the watched list was fetched from the platform, in ms of the steady clock. Defined only if
   * {@link #serverListBytes} is not null.
   */
  public long serverListFetchedAtMs() {
    return servers.watchedFetchedAtMs();
  }

  @Override
  public ClusterView view() {
    return views.view();
  }

  /** Time since the node at this RPC address responded, in ms; Long.MAX_VALUE if it has not. */
  public long lastResponseAgeMs(String address) {
    return streams.lastResponseAgeMs(address);
  }

  /** RPC addresses of the control-plane nodes that are watched now. */
  public List<String> upstreams() {
    return streams.addresses();
  }

  /** Number of requests that failed or whose response could not be used, since the start. */
  public long failedRequests() {
    return streams.failedRequests();
  }

  /** Number of received updates with a configuration or list that could not be decoded. */
  public long rejectedUpdates() {
    return rejectedUpdates;
  }

  /**
   * Offers a committed configuration that this process received by other means than a watch;
   * ignored unless it is newer.
   *
   * @throws ElmsailException INVALID_ARGUMENT if it is not a valid configuration
   */
  public void offerConfig(byte[] bytes) {
    if (configs.offer(bytes)) {
      notifyListeners();
    }
  }

  /**
   * Offers the list that this process fetched as the lease holder of server discovery; the
   * parameters are those of {@link WatchServer#setServers}.
   *
   * @throws ElmsailException MALFORMED if the list cannot be decoded
   */
  public void offerServers(long epoch, long version, byte[] bytes, long fetchedAtMs) {
    if (servers.offerWatched(epoch, version, bytes, fetchedAtMs)) {
      notifyListeners();
    }
  }

  private void selectUpstreams() {
    streams.selectUpstreams(view().controlPlaneVoters, isConfirmationOverdue());
  }

  /**
   * Whether a gateway has waited too long for a confirmation and may have to reject requests soon.
   * The gateway then watches all nodes and requests immediate responses, because any of the nodes
   * may be the only one that still reaches a majority. False before the first confirmation.
   */
  private boolean isConfirmationOverdue() {
    long ageMs = configConfirmedAgeMs();
    return needsConfirmation && ageMs > CONFIRMATION_OVERDUE_MS && ageMs != Long.MAX_VALUE;
  }

  private void refresh() {
    selectUpstreams();
    if (views.updateGateways(streams.recentGateways())) {
      notifyListeners();
    }
    refresh = timers.schedule(REFRESH_INTERVAL_MS, this::refresh);
  }

  private PullRequest newRequest(WatchStream stream) {
    boolean urgent = stream.confirmsConfig && isConfirmationOverdue();
    return requests.newRequest(
        stream, streams.nearest(), configs.version(), servers, urgent, timers.now());
  }

  /** Returns false if a part could not be decoded; the other parts are still applied. */
  private boolean onResponse(PullResponse response, long requestedAtMs) {
    Update configUpdate = applyConfig(response);
    confirmation.onResponse(response, configs.version(), requestedAtMs);
    Update serversUpdate = applyServers(response);
    boolean decoded = configUpdate != Update.REJECTED && serversUpdate != Update.REJECTED;
    rejectedUpdates += decoded ? 0 : 1;
    boolean changed = configUpdate == Update.CHANGED || serversUpdate == Update.CHANGED;
    if (response.view != null) {
      changed |= views.merge(response.view, streams.recentGateways());
    }
    if (changed) {
      notifyListeners();
    }
    if (response.view != null && response.view.joinSlot >= 0) {
      joinListener.join(response.view.joinSlot, response.view.joinEpoch);
    }
    return decoded;
  }

  /** The result of applying one part of a response. */
  private enum Update {
    CHANGED,
    UNCHANGED,
    /** The part could not be decoded. */
    REJECTED;

    static Update of(boolean changed) {
      return changed ? CHANGED : UNCHANGED;
    }
  }

  private Update applyConfig(PullResponse response) {
    if (response.config == null) {
      return Update.UNCHANGED;
    }
    try {
      return Update.of(configs.offer(response.configVersion, response.config));
    } catch (ElmsailException e) {
      return Update.REJECTED;
    }
  }

  private Update applyServers(PullResponse response) {
    if (response.serverListAgeMs < 0) {
      return Update.UNCHANGED;
    }
    try {
      return Update.of(
          servers.offerWatched(
              response.serverListEpoch,
              response.serverListVersion,
              response.servers,
              timers.now() - response.serverListAgeMs));
    } catch (ElmsailException e) {
      return Update.REJECTED;
    }
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
