package elmsail.gateway.servers;

import elmsail.config.ClusterState;
import elmsail.config.Route;
import elmsail.config.RoutingConfig;
import elmsail.config.ServerEntry;
import elmsail.config.Service;
import elmsail.gateway.http.RequestCounters;
import elmsail.gateway.load.PeerLoads;
import elmsail.gateway.load.ServerLoad;
import elmsail.runtime.Timers;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * The servers that may get something, their connections, and the choice among them. All on the
 * loop.
 */
public final class Servers {
  private static final long IDLE_SWEEP_INTERVAL_MS = 500;

  private static final int DEFAULT_CACHE_TOKENS = 200_000;

  private final Timers timers;
  private final ClusterState clusterState;
  private final String zone;
  private final PromptAffinity affinity;
  private final RequestCounters counters;
  private final RouteRoundRobins roundRobins;
  private final ConnectionPool pool;
  private final DelegatingPeerLoads peerLoads = new DelegatingPeerLoads();
  private final Map<String, Server> byId = new LinkedHashMap<>();
  private final Map<String, OutlierDetector> outliersByService = new HashMap<>();
  private final Map<String, SlotHoldTime> slotHoldTimeByService = new HashMap<>();
  private int turn;

  /** The servers of the list that {@code known} has; connections run on {@code loop}. */
  public Servers(
      Timers timers,
      EventLoop loop,
      ClusterState clusterState,
      String zone,
      RequestCounters counters,
      RandomGenerator random) {
    this.timers = timers;
    this.clusterState = clusterState;
    this.zone = zone;
    affinity = new PromptAffinity(zone);
    this.counters = counters;
    roundRobins = new RouteRoundRobins(random);
    pool = new ConnectionPool(timers, loop, clusterState, counters);
    clusterState.addListener(this::onServerListChanged);
    onServerListChanged();
    timers.schedule(IDLE_SWEEP_INTERVAL_MS, this::closeExpiredConnections);
  }

  /**
   * From now on what other gateways have open counts too.
   *
   * @param onLoadChanged called when what is open here has changed
   */
  public void setPeerLoads(PeerLoads peers, Runnable onLoadChanged) {
    peerLoads.delegateTo(peers, onLoadChanged);
  }

  /**
   * What this gateway has open at servers that tell no load, by server id; where nothing is, none.
   */
  public Map<String, ServerLoad> ownLoads() {
    Map<String, ServerLoad> loads = new HashMap<>();
    for (Server server : byId.values()) {
      ServerLoad load = server.ownLoad();
      if (!server.reportsLoad() && !load.equals(ServerLoad.NONE)) {
        loads.put(server.id(), load);
      }
    }
    return loads;
  }

  /** Whether any server is open to requests. */
  public boolean hasAny() {
    return !byId.isEmpty();
  }

  /** Takes the newest list: servers that close or are gone get nothing new from here on. */
  private void onServerListChanged() {
    Set<String> open = new HashSet<>();
    for (ServerEntry entry : clusterState.servers()) {
      if (!entry.draining()) {
        open.add(entry.id());
        Server server = byId.get(entry.id());
        if (server != null && !server.entry().address().equals(entry.address())) {
          byId.remove(entry.id());
          remove(server);
          server = null;
        }
        if (server == null) {
          byId.put(entry.id(), newServer(entry));
        }
      }
    }
    for (Iterator<Server> all = byId.values().iterator(); all.hasNext(); ) {
      Server server = all.next();
      if (!open.contains(server.id())) {
        all.remove();
        remove(server);
      }
    }
  }

  private Server newServer(ServerEntry entry) {
    OutlierDetector outliers =
        outliersByService.computeIfAbsent(entry.service(), name -> new OutlierDetector());
    SlotHoldTime slotHoldTime =
        slotHoldTimeByService.computeIfAbsent(entry.service(), name -> new SlotHoldTime());
    return new Server(
        entry,
        zone.equals(entry.zone()),
        cacheTokens(entry.service()),
        outliers,
        slotHoldTime,
        peerLoads,
        peerLoads::notifyLoadChanged);
  }

  /** What has not been written yet is not written any more; what runs goes on. */
  private static void remove(Server server) {
    server.markRemoved();
    for (ServerConnection connection : new ArrayList<>(server.idleConnections)) {
      connection.close();
    }
    for (Attempt attempt : server.openAttempts()) {
      if (!attempt.isSent()) {
        attempt.onFailure();
      }
    }
  }

  private long cacheTokens(String service) {
    RoutingConfig config = clusterState.config();
    Service server = config == null ? null : config.services().get(service);
    // About half of it is taken by requests that run.
    return server == null || server.kvCacheTokens() <= 0
        ? DEFAULT_CACHE_TOKENS
        : server.kvCacheTokens() / 2;
  }

  /** See {@link ConnectionPool#maxConnections}. */
  int maxConnections(Server server) {
    return pool.maxConnections(server);
  }

  /** Whether a connection for one more request can be had. */
  boolean hasConnectionCapacity(Server server) {
    return !server.idleConnections.isEmpty() || server.connectionCount < maxConnections(server);
  }

  /** The open servers of a service. */
  List<Server> serversOf(String service) {
    List<Server> found = new ArrayList<>();
    for (Server server : byId.values()) {
      if (server.entry().service().equals(service)) {
        found.add(server);
      }
    }
    return found;
  }

  /** The open servers of all the route's services. */
  public List<Server> serversOf(Route route) {
    List<Server> found = new ArrayList<>();
    for (Route.WeightedService share : route.weightedServices()) {
      if (share.weight() > 0) {
        found.addAll(serversOf(share.service()));
      }
    }
    return found;
  }

  /** As {@link #pick(Route, Prompt, Set, SelectionMode)}, for a request that must not err. */
  public Server pick(Route route, Prompt prompt, Set<Server> excluded) {
    return pick(route, prompt, excluded, SelectionMode.NOT_RETRYABLE);
  }

  /**
   * A server for the request that is not among those it has been at, or null.
   *
   * @param mode what an error of the server would cost
   */
  public Server pick(Route route, Prompt prompt, Set<Server> excluded, SelectionMode mode) {
    SmoothWeightedRoundRobin roundRobin = roundRobins.of(route);
    List<Route.WeightedService> shares = new ArrayList<>(route.weightedServices());
    while (!shares.isEmpty()) {
      Route.WeightedService share = roundRobin.next(shares);
      shares.remove(share);
      Server server =
          share.weight() > 0 ? pickAmong(serversOf(share.service()), prompt, excluded, mode) : null;
      if (server != null) {
        return server;
      }
    }
    return null;
  }

  /** The best of these with room for a connection, or null. */
  private Server pickAmong(
      List<Server> among, Prompt prompt, Set<Server> excluded, SelectionMode mode) {
    long now = timers.now();
    List<Server> open = new ArrayList<>(among.size());
    for (Server server : among) {
      if (!excluded.contains(server)
          && !server.isRemoved()
          && !server.isMisdirected()
          && hasConnectionCapacity(server)) {
        open.add(server);
      }
    }
    Server probeTarget =
        mode == SelectionMode.PROBE_PREFERRED ? firstAwaitingProbe(open, now) : null;
    if (probeTarget != null) {
      return probeTarget;
    }
    SelectionMode effectiveMode = effectiveMode(mode, open, now);
    Server affinityServer = affinity.ownServer(open, prompt);
    List<ServerSelector.Candidate> candidates = new ArrayList<>(open.size());
    for (Server server : open) {
      candidates.add(candidate(server, prompt, server == affinityServer, effectiveMode, now));
    }
    int at =
        peerLoads.isAvailable() && open.stream().noneMatch(Server::reportsLoad)
            ? ServerSelector.pickSpread(
                candidates, affinity.ranks(open, prompt), prompt.totalTokens())
            : ServerSelector.pick(candidates, prompt.totalTokens(), turn++);
    return at < 0 ? null : open.get(at);
  }

  private static Server firstAwaitingProbe(List<Server> open, long now) {
    for (Server server : open) {
      if (server.awaitsProbe(now) && !server.isSuspect(now)) {
        return server;
      }
    }
    return null;
  }

  /** Where no server served lately, those that erred are still to be told from the others. */
  private static SelectionMode effectiveMode(SelectionMode mode, List<Server> open, long now) {
    boolean noneServedLately =
        mode == SelectionMode.AFTER_ERROR
            && open.stream().allMatch(server -> isAvoided(server, mode, now));
    return noneServedLately ? SelectionMode.NOT_RETRYABLE : mode;
  }

  private ServerSelector.Candidate candidate(
      Server server, Prompt prompt, boolean isAffinityServer, SelectionMode mode, long now) {
    return new ServerSelector.Candidate(
        server.prefixCache().cachedTokens(prompt),
        isAffinityServer ? prompt.sharedPrefixTokens() : 0,
        server.runningRequests(now),
        server.queuedRequests(now),
        server.entry().maxConcurrency(),
        server.pendingPrefillTokens(),
        server.slotReleaseIntervalMs(),
        zone.equals(server.entry().zone()),
        isAvoided(server, mode, now));
  }

  private static boolean isAvoided(Server server, SelectionMode mode, long now) {
    return server.isSuspect(now)
        || server.isEjected(mode.probesEarly(), now)
        || mode == SelectionMode.AFTER_ERROR && !server.servedRecently(now);
  }

  /** Whether a request for that server is refused at once; see {@link AdmissionPolicy}. */
  public boolean rejects(Server server, Prompt prompt, long latencyTargetMs) {
    ServerSelector.Candidate candidate =
        candidate(server, prompt, false, SelectionMode.NOT_RETRYABLE, timers.now());
    boolean loadIsShared = peerLoads.isAvailable() && !server.reportsLoad();
    return AdmissionPolicy.rejects(
        new AdmissionPolicy.Estimate(ServerSelector.waitMs(candidate), loadIsShared),
        latencyTargetMs);
  }

  /** Whether it failed or erred lately or is silent. */
  public boolean isUnhealthy(Server server) {
    long now = timers.now();
    return server.isSuspect(now) || server.isEjected(false, now);
  }

  /** Whether it can be chosen and neither failed nor erred lately. */
  public boolean isAvailable(Server server) {
    return !server.isRemoved() && !server.isMisdirected() && !isUnhealthy(server);
  }

  /** Begins a try; what is heard of it comes later, never within this call. */
  public Attempt start(Server server, OutgoingRequest request, AttemptListener listener) {
    counters.count(RequestCounters.Event.ATTEMPT);
    Attempt attempt = new Attempt(server, request, listener, timers.now());
    if (server.onAttemptStarted(attempt)) {
      counters.count(RequestCounters.Event.PROBED);
    }
    server.prefixCache().record(request.prompt());
    pool.send(server, attempt);
    return attempt;
  }

  private void closeExpiredConnections() {
    long now = timers.now();
    for (Server server : byId.values()) {
      for (ServerConnection connection : new ArrayList<>(server.idleConnections)) {
        if (!connection.isFresh(now)) {
          connection.close();
        }
      }
    }
    if (!pool.isStopped()) {
      timers.schedule(IDLE_SWEEP_INTERVAL_MS, this::closeExpiredConnections);
    }
  }

  /** Closes the idle connections; what runs goes on. */
  public void stop() {
    pool.stop();
    for (Server server : byId.values()) {
      for (ServerConnection connection : new ArrayList<>(server.idleConnections)) {
        connection.close();
      }
    }
  }
}
