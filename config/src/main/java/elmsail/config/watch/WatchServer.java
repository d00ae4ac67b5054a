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
 * A control-plane node's side of the watch streams: publishes the configuration, the server list
 * and the cluster view to all who watch, and keeps what they report of themselves.
 *
 * <p>A watch is a long poll. It is answered at once if the node has something newer than the
 * request names, else with the next change or when its wait is over.
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
   * Creates a server that has nothing to publish yet. Its view version starts at the steady clock,
   * above that of any earlier process of this machine.
   */
  public WatchServer(Timers timers) {
    this.timers = timers;
    viewVersion = Math.max(1, timers.now());
  }

  /** Publishes a committed configuration in the operator's bytes; ignored unless it is newer. */
  public void setConfig(long newVersion, byte[] bytes) {
    if (newVersion > configVersion) {
      configVersion = newVersion;
      config = bytes;
      scheduleFlush();
    }
  }

  /**
   * Publishes a server list. One with a lower epoch or version is ignored; the same version again
   * only refreshes its age.
   *
   * @param version from 1, as a watcher without a list has 0
   * @param bytes as of {@code ServerListCodec.encode}
   * @param fetchedAtMs when the platform was asked for it, in ms of the steady clock
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

  /** Sets how a watcher's view is built; views differ by watcher, as one may be ordered to join. */
  public void setViewFactory(Function<PullRequest, ClusterView> newViewFactory) {
    viewFactory = newViewFactory;
    onViewChanged();
  }

  /** To be called when any view has changed: it is published to all who watch. */
  public void onViewChanged() {
    viewVersion = Math.max(viewVersion + 1, timers.now());
    scheduleFlush();
  }

  /** Sets the one listener that runs after a request of a new peer, or of one that changed. */
  public void setPeerListener(Runnable listener) {
    peerListener = listener;
  }

  /**
   * Serves a watch request. A second request of a process ends its first. With 2,000 pending,
   * further ones are answered at once.
   *
   * @return completes on the loop, at the latest after 10 s
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

  /** The last status of each process that sent a request in the last so many ms, in no order. */
  public List<PeerStatus> peersSeenWithin(long windowMs) {
    return peers.seenSince(timers.now() - windowMs);
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

  /** Changes of one turn of the loop are published together. */
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
