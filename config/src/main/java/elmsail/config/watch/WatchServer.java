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
 * A control-plane node's side of the pulls: what it has to tell, who waits for something newer, and
 * who was heard of. Everything on the loop.
 */
public final class WatchServer {
  private static final int MAX_PENDING_WATCHES = 2_000;
  private static final int MAX_PEERS = 4_000;
  private static final long MAX_WAIT_MS = 10_000;

  private record PendingWatch(
      PullRequest request, CompletableFuture<PullResponse> response, Timers.Timer timer) {}

  private final Timers timers;
  private final Map<String, PendingWatch> pendingWatches = new LinkedHashMap<>();
  private final Map<String, PeerStatus> peers = new LinkedHashMap<>();
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
   * A publisher that knows no configuration yet; its view begins above any earlier process of this
   * machine.
   */
  public WatchServer(Timers timers) {
    this.timers = timers;
    viewVersion = Math.max(1, timers.now());
  }

  /** A decided configuration, as the operator sent it; passed over unless its edition is higher. */
  public void setConfig(long newVersion, byte[] bytes) {
    if (newVersion > configVersion) {
      configVersion = newVersion;
      config = bytes;
      scheduleFlush();
    }
  }

  /**
   * A list, in the bytes of {@code ServerList.encode}. Passed over if it is behind the one held;
   * the same version again only makes it younger.
   *
   * @param version from 1, as a watcher without a list has 0
   * @param fetchedAtMs steady ms when the platform was asked
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

  /** Whether there is a list to tell. */
  public boolean hasServers() {
    return servers != null;
  }

  /** How each asker's view is made; it may differ by asker (a voter slot to claim). */
  public void setViewFactory(Function<PullRequest, ClusterView> newViewFactory) {
    viewFactory = newViewFactory;
    onViewChanged();
  }

  /** Something in the views has changed: whoever waits is told. */
  public void onViewChanged() {
    viewVersion = Math.max(viewVersion + 1, timers.now());
    scheduleFlush();
  }

  /** Run on the loop after an asker came that is new, or that tells another state of itself. */
  public void setPeerListener(Runnable listener) {
    peerListener = listener;
  }

  /**
   * Answers at once if something is newer than the asker has, else when something is or the wait is
   * over (10 s at most). An asker's second ask ends its first. With 2,000 held, more are answered
   * at once.
   */
  public CompletableFuture<PullResponse> watch(PullRequest request) {
    String peerKey = peerKey(request);
    recordPeer(peerKey, request);
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

  /** Whoever asked within so many ms, each process's last word, in no order. */
  public List<PeerStatus> peersSeenWithin(long windowMs) {
    long sinceMs = timers.now() - windowMs;
    List<PeerStatus> recent = new ArrayList<>();
    for (PeerStatus peer : peers.values()) {
      if (peer.receivedAtMs() >= sinceMs) {
        recent.add(peer);
      }
    }
    return recent;
  }

  /** How many asks are held open now. */
  public int pendingWatches() {
    return pendingWatches.size();
  }

  private static String peerKey(PullRequest request) {
    return request.role + '@' + request.machine;
  }

  private void recordPeer(String peerKey, PullRequest request) {
    PeerStatus current =
        new PeerStatus(
            request.machine,
            request.address,
            request.zone,
            request.role,
            request.instanceId,
            request.voting,
            request.drained,
            request.jobStoreVoters,
            timers.now());
    PeerStatus previous = peers.remove(peerKey);
    if (previous == null && peers.size() >= MAX_PEERS) {
      peers.remove(peers.keySet().iterator().next());
    }
    peers.put(peerKey, current);
    if (previous == null || !previous.equalsExceptTime(current)) {
      timers.execute(peerListener);
    }
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

  /** Several changes of one moment are told together. */
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
