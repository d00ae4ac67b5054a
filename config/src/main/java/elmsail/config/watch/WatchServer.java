package elmsail.config.watch;

import elmsail.rpc.messages.ClusterView;
import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.PullResponse;
import elmsail.runtime.Timers;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * The server side of the watch streams, on a control-plane node: publishes the configuration, the
 * server list and the cluster view to all watchers, and keeps the status that each watcher reports.
 *
 * <p>A watch is a long poll. The node responds immediately if it has a newer version than the
 * request names; otherwise it responds at the next change or when the wait elapses.
 *
 * <p>Not thread-safe: all methods run on the process's event loop.
 */
public final class WatchServer {
  private static final int MAX_PENDING_WATCHES = 2_000;
  private static final long MAX_WAIT_MS = 10_000;

  private record PendingWatch(
      PullRequest request, CompletableFuture<PullResponse> response, Timers.Timer timer) {}

  private final Timers timers;
  private final Map<String, PendingWatch> pendingWatches = new LinkedHashMap<>();
  private final PeerTable peers = new PeerTable();
  private Function<PullRequest, ClusterView> viewFactory = request -> new ClusterView();
  private Runnable peerListener = () -> {};
  private long configVersion;
  private byte[] config;
  private long serverListEpoch;
  private long serverListVersion;
  private byte[] servers;
  private long serverListFetchedAtMs;
  private long viewVersion;
  private boolean flushScheduled;

  /**
   * Creates a server that has nothing to publish yet. Its view version starts at the time of the
   * steady clock, and so above the view version of any earlier process on this machine.
   */
  public WatchServer(Timers timers) {
    this.timers = timers;
    viewVersion = Math.max(1, timers.now());
  }

  /**
   * Publishes a committed configuration as the bytes that the operator sent; ignored unless it is
   * newer.
   */
  public void setConfig(long newVersion, byte[] bytes) {
    if (newVersion > configVersion) {
      configVersion = newVersion;
      config = bytes;
      scheduleFlush();
    }
  }

  /**
   * Publishes a server list. A list with a lower epoch or version is ignored; the same version only
   * refreshes the age.
   *
   * @param version at least 1, because a watcher without a list sends 0
   * @param bytes the list encoded by {@code ServerListCodec.encode}
   * @param fetchedAtMs when the fetch from the platform started, in ms of the steady clock
   */
  public void setServers(long epoch, long version, byte[] bytes, long fetchedAtMs) {
    int order = Long.compare(epoch, serverListEpoch);
    order = order != 0 ? order : Long.compare(version, serverListVersion);
    if (servers != null && order == 0) {
      serverListFetchedAtMs = Math.max(serverListFetchedAtMs, fetchedAtMs);
    } else if (servers == null || order > 0) {
      serverListEpoch = epoch;
      serverListVersion = version;
      servers = bytes;
      serverListFetchedAtMs = fetchedAtMs;
      scheduleFlush();
    }
  }

  /** Whether there is a server list to publish. */
  public boolean hasServers() {
    return servers != null;
  }

  /**
   * Sets the function that builds a watcher's view. Views differ between watchers, because a view
   * may order its watcher to join a voter set.
   */
  public void setViewFactory(Function<PullRequest, ClusterView> newViewFactory) {
    viewFactory = newViewFactory;
    onViewChanged();
  }

  /** To be called when any view has changed; publishes the views to all watchers. */
  public void onViewChanged() {
    viewVersion = Math.max(viewVersion + 1, timers.now());
    scheduleFlush();
  }

  /**
   * Sets the single listener, which runs after a request of a peer that is new or whose status
   * changed.
   */
  public void setPeerListener(Runnable listener) {
    peerListener = listener;
  }

  /**
   * Handles a watch request. A second request of a process completes its first. While 2,000 watches
   * are pending, further requests are answered immediately.
   *
   * @return a future that completes on the event loop after at most 10 s
   */
  public CompletableFuture<PullResponse> watch(PullRequest request) {
    if (peers.record(request, timers.now())) {
      timers.execute(peerListener);
    }
    String peerKey = PeerTable.keyOf(request);
    PendingWatch previous = pendingWatches.remove(peerKey);
    if (previous != null) {
      respond(previous);
    }
    if (hasNewer(request)
        || request.maxWaitMs <= 0
        || pendingWatches.size() >= MAX_PENDING_WATCHES) {
      return CompletableFuture.completedFuture(newResponse(request));
    }
    CompletableFuture<PullResponse> response = new CompletableFuture<>();
    Timers.Timer timer =
        timers.schedule(
            Math.min(request.maxWaitMs, MAX_WAIT_MS), () -> onWaitElapsed(peerKey, response));
    pendingWatches.put(peerKey, new PendingWatch(request, response, timer));
    return response;
  }

  /**
   * The last status of each process that sent a request within the last {@code windowMs}, in no
   * particular order.
   */
  public List<PeerStatus> peersSeenWithin(long windowMs) {
    return peers.seenSince(timers.now() - windowMs);
  }

  /** The version of the published configuration; 0 before the first. */
  public long configVersion() {
    return configVersion;
  }

  /** Number of watches that wait for a change. */
  public int pendingWatches() {
    return pendingWatches.size();
  }

  private boolean hasNewer(PullRequest request) {
    return config != null && configVersion > request.configVersion
        || hasNewerList(request)
        || viewVersion != request.viewVersion;
  }

  private boolean hasNewerList(PullRequest request) {
    return servers != null
        && (serverListEpoch > request.serverListEpoch
            || serverListEpoch == request.serverListEpoch
                && serverListVersion > request.serverListVersion);
  }

  private PullResponse newResponse(PullRequest request) {
    PullResponse response = new PullResponse();
    response.configVersion = configVersion;
    response.config = configVersion > request.configVersion ? config : null;
    response.serverListEpoch = serverListEpoch;
    response.serverListVersion = serverListVersion;
    response.servers = hasNewerList(request) ? servers : null;
    response.serverListAgeMs =
        servers == null ? -1 : Math.max(0, timers.now() - serverListFetchedAtMs);
    response.viewVersion = viewVersion;
    response.view = viewVersion != request.viewVersion ? viewFactory.apply(request) : null;
    return response;
  }

  private void onWaitElapsed(String peerKey, CompletableFuture<PullResponse> response) {
    PendingWatch pending = pendingWatches.get(peerKey);
    if (pending != null && pending.response() == response) {
      pendingWatches.remove(peerKey);
      respond(pending);
    }
  }

  /** Schedules one flush for all changes of one event-loop iteration. */
  private void scheduleFlush() {
    if (!flushScheduled) {
      flushScheduled = true;
      timers.execute(this::flush);
    }
  }

  private void flush() {
    flushScheduled = false;
    List<PendingWatch> ready = new ArrayList<>();
    pendingWatches.values().removeIf(pending -> hasNewer(pending.request()) && ready.add(pending));
    for (PendingWatch pending : ready) {
      respond(pending);
    }
  }

  private void respond(PendingWatch pending) {
    pending.timer().cancel();
    pending.response().complete(newResponse(pending.request()));
  }
}
