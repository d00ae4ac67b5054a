package elmsail.gateway.servers;

import elmsail.config.ClusterState;
import elmsail.config.Route;
import elmsail.config.RoutingConfig;
import elmsail.config.ServerEntry;
import elmsail.config.Service;
import elmsail.gateway.http.RequestCounters;
import elmsail.gateway.load.PeerLoads;
import elmsail.gateway.load.ServerLoad;
import elmsail.rpc.messages.ServiceDemand;
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
 * The servers in use: follows the server list, starts attempts and closes connections that expire.
 * Which server an attempt gets is decided by the {@link ServerPicker}. Owned by the gateway's event
 * loop.
 */
public final class Servers {
  private static final long IDLE_SWEEP_INTERVAL_MS = 500;

  /** Assumed prefix cache capacity if the service's configuration has no KV cache size. */
  private static final int DEFAULT_CACHE_TOKENS = 200_000;

  /**
   * Ratio of KV cache size to prefix cache size: about half of the KV cache is used by running
   * requests.
   */
  private static final int KV_CACHE_PER_PREFIX_CACHE = 2;

  private final Timers timers;
  private final ClusterState clusterState;
  private final String zone;
  private final RequestCounters counters;
  private final ConnectionPool pool;
  private final ServerPicker picker;
  private final DelegatingPeerLoads peerLoads = new DelegatingPeerLoads();
  private final Map<String, Server> byId = new LinkedHashMap<>();
  private final Map<String, OutlierDetector> outliersByService = new HashMap<>();
  private final Map<String, SlotHoldTime> slotHoldTimeByService = new HashMap<>();

  /**
   * Starts to follow the server list.
   *
   * @param loop runs the connections
   * @param zone the gateway's zone
   * @param random source of the starting points of the round robins
   */
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
    this.counters = counters;
    pool = new ConnectionPool(timers, loop, clusterState, counters);
    picker =
        new ServerPicker(
            timers, zone, this::serversOf, pool, peerLoads, new RouteRoundRobins(random));
    clusterState.addListener(this::onServerListChanged);
    onServerListChanged();
    timers.schedule(IDLE_SWEEP_INTERVAL_MS, this::closeExpiredConnections);
  }

  /** The picker that decides which server an attempt gets. */
  public ServerPicker picker() {
    return picker;
  }

  /**
   * Sets the source of the loads of other gateways.
   *
   * @param onLoadChanged runs when this gateway's own load has changed
   */
  public void setPeerLoads(PeerLoads newPeerLoads, Runnable onLoadChanged) {
    peerLoads.delegateTo(newPeerLoads, onLoadChanged);
  }

  /** This gateway's load by server id, without idle servers and those that report their load. */
  public Map<String, ServerLoad> ownLoads() {
    Map<String, ServerLoad> loads = new HashMap<>();
    for (Server server : byId.values()) {
      ServerLoad load = server.load().ownLoad();
      if (!server.load().reportsLoad() && !load.equals(ServerLoad.NONE)) {
        loads.put(server.id(), load);
      }
    }
    return loads;
  }

  /**
   * This gateway's demand for the services whose number of servers is set by fleet size control.
   *
   * @param waitingItems number of items by service that wait at this gateway for capacity
   */
  public List<ServiceDemand> demand(Map<String, Integer> waitingItems) {
    RoutingConfig config = clusterState.config();
    return config == null ? List.of() : DemandMeter.measure(byId.values(), config, waitingItems);
  }

  /** Whether any server is in use. */
  public boolean hasAny() {
    return !byId.isEmpty();
  }

  /** Applies a changed server list: draining and unlisted servers get no new requests. */
  private void onServerListChanged() {
    Set<String> inUse = new HashSet<>();
    for (ServerEntry entry : clusterState.servers()) {
      if (!entry.draining()) {
        inUse.add(entry.id());
        addOrReplace(entry);
      }
    }
    for (Iterator<Server> all = byId.values().iterator(); all.hasNext(); ) {
      Server server = all.next();
      if (!inUse.contains(server.id())) {
        all.remove();
        remove(server);
      }
    }
  }

  private void addOrReplace(ServerEntry entry) {
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

  /**
   * Removes a server: attempts that have not been sent fail, those that have been sent continue.
   */
  private static void remove(Server server) {
    server.markRemoved();
    closeIdleConnections(server);
    for (Attempt attempt : server.openAttempts()) {
      if (!attempt.isSent()) {
        attempt.onFailure();
      }
    }
  }

  private static void closeIdleConnections(Server server) {
    for (ServerConnection connection : new ArrayList<>(server.idleConnections)) {
      connection.close();
    }
  }

  private long cacheTokens(String serviceName) {
    RoutingConfig config = clusterState.config();
    Service service = config == null ? null : config.services().get(serviceName);
    return service == null || service.kvCacheTokens() <= 0
        ? DEFAULT_CACHE_TOKENS
        : service.kvCacheTokens() / KV_CACHE_PER_PREFIX_CACHE;
  }

  /** How many connections this gateway may have to the server. */
  int maxConnections(Server server) {
    return pool.maxConnections(server);
  }

  /** The servers in use of a service, in a new list. */
  List<Server> serversOf(String service) {
    List<Server> found = new ArrayList<>();
    for (Server server : byId.values()) {
      if (server.entry().service().equals(service)) {
        found.add(server);
      }
    }
    return found;
  }

  /** The servers in use of all services of the route that have a weight, in a new list. */
  public List<Server> serversOf(Route route) {
    List<Server> found = new ArrayList<>();
    for (Route.WeightedService share : route.weightedServices()) {
      if (share.weight() > 0) {
        found.addAll(serversOf(share.service()));
      }
    }
    return found;
  }

  /** Starts an attempt. The listener is called later, never within this call. */
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

  /**
   * Closes idle connections now and further ones as soon as they become idle. Open attempts
   * continue.
   */
  public void stop() {
    pool.stop();
    for (Server server : byId.values()) {
      closeIdleConnections(server);
    }
  }
}
