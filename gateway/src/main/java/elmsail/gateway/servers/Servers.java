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
  private static final long SWEEP_MS = 500;

  private static final int DEFAULT_TOKENS = 200_000;

  private final Timers timers;
  private final ClusterState known;
  private final String zone;
  private final PromptAffinity affinity;
  private final RequestCounters counters;
  private final ShareRotations rotations;
  private final ConnectionPool pool;
  private final SharedLoads shared = new SharedLoads();
  private final Map<String, Server> byId = new LinkedHashMap<>();
  private final Map<String, OutlierDetector> outliersByService = new HashMap<>();
  private final Map<String, PlaceTime> placeTimeByService = new HashMap<>();
  private int turn;

  /** The servers of the list that {@code known} has; connections run on {@code loop}. */
  public Servers(
      Timers timers,
      EventLoop loop,
      ClusterState known,
      String zone,
      RequestCounters counters,
      RandomGenerator chance) {
    this.timers = timers;
    this.known = known;
    this.zone = zone;
    affinity = new PromptAffinity(zone);
    this.counters = counters;
    rotations = new ShareRotations(chance);
    pool = new ConnectionPool(timers, loop, known, counters);
    known.addListener(this::refresh);
    refresh();
    timers.schedule(SWEEP_MS, this::sweep);
  }

  /**
   * From now on what other gateways have open counts too.
   *
   * @param loadChanged called when what is open here has changed
   */
  public void share(PeerLoads peers, Runnable loadChanged) {
    shared.by(peers, loadChanged);
  }

  /**
   * What this gateway has open at servers that tell no load, by server id; where nothing is, none.
   */
  public Map<String, ServerLoad> ownLoads() {
    Map<String, ServerLoad> loads = new HashMap<>();
    for (Server server : byId.values()) {
      ServerLoad load = server.ownLoad();
      if (!server.tellsLoad() && !load.equals(ServerLoad.NONE)) {
        loads.put(server.id(), load);
      }
    }
    return loads;
  }

  /** Whether any server is open to requests. */
  public boolean any() {
    return !byId.isEmpty();
  }

  /** Takes the newest list: servers that close or are gone get nothing new from here on. */
  private void refresh() {
    Set<String> open = new HashSet<>();
    for (ServerEntry e : known.servers()) {
      if (!e.draining()) {
        open.add(e.id());
        Server server = byId.get(e.id());
        if (server != null && !server.entry().address().equals(e.address())) {
          byId.remove(e.id());
          leave(server);
          server = null;
        }
        if (server == null) {
          byId.put(e.id(), newServer(e));
        }
      }
    }
    for (Iterator<Server> all = byId.values().iterator(); all.hasNext(); ) {
      Server server = all.next();
      if (!open.contains(server.id())) {
        all.remove();
        leave(server);
      }
    }
  }

  private Server newServer(ServerEntry entry) {
    OutlierDetector outliers =
        outliersByService.computeIfAbsent(entry.service(), name -> new OutlierDetector());
    PlaceTime placeTime =
        placeTimeByService.computeIfAbsent(entry.service(), name -> new PlaceTime());
    return new Server(
        entry,
        zone.equals(entry.zone()),
        kvTokens(entry.service()),
        outliers,
        placeTime,
        shared,
        shared::changed);
  }

  /** What has not been written yet is not written any more; what runs goes on. */
  private static void leave(Server server) {
    server.leave();
    for (ServerConnection c : new ArrayList<>(server.idle)) {
      c.close();
    }
    for (Attempt t : server.tries()) {
      if (!t.sent()) {
        t.failed();
      }
    }
  }

  private long kvTokens(String service) {
    RoutingConfig now = known.config();
    Service server = now == null ? null : now.services().get(service);
    // About half of it is taken by requests that run.
    return server == null || server.kvCacheTokens() <= 0 ? DEFAULT_TOKENS : server.kvCacheTokens() / 2;
  }

  /** See {@link ConnectionPool#most}. */
  int most(Server server) {
    return pool.most(server);
  }

  /** Whether a connection for one more request can be had. */
  boolean room(Server server) {
    return !server.idle.isEmpty() || server.connections < most(server);
  }

  /** The open servers of a service. */
  List<Server> of(String service) {
    List<Server> found = new ArrayList<>();
    for (Server server : byId.values()) {
      if (server.entry().service().equals(service)) {
        found.add(server);
      }
    }
    return found;
  }

  /** The open servers of all the route's services. */
  public List<Server> of(Route route) {
    List<Server> found = new ArrayList<>();
    for (Route.WeightedService share : route.weightedServices()) {
      if (share.weight() > 0) {
        found.addAll(of(share.service()));
      }
    }
    return found;
  }

  /** As {@link #choose(Route, Prompt, Set, boolean)}, for a request that must not err. */
  public Server choose(Route route, Prompt prompt, Set<Server> not) {
    return choose(route, prompt, not, SelectionMode.SINGLE);
  }

  /**
   * A server for the request that is not among those it has been at, or null.
   *
   * @param mode what an error of the server would cost
   */
  public Server choose(Route route, Prompt prompt, Set<Server> not, SelectionMode mode) {
    ShareRotation rotation = rotations.of(route);
    List<Route.WeightedService> shares = new ArrayList<>(route.weightedServices());
    while (!shares.isEmpty()) {
      Route.WeightedService share = rotation.next(shares);
      shares.remove(share);
      Server server = share.weight() > 0 ? best(of(share.service()), prompt, not, mode) : null;
      if (server != null) {
        return server;
      }
    }
    return null;
  }

  /** The best of these with room for a connection, or null. */
  private Server best(List<Server> among, Prompt prompt, Set<Server> not, SelectionMode mode) {
    long now = timers.now();
    List<Server> open = new ArrayList<>(among.size());
    for (Server server : among) {
      if (!not.contains(server) && !server.gone() && !server.misplaced() && room(server)) {
        open.add(server);
      }
    }
    Server halfOpen = mode == SelectionMode.PROBE_PREFERRED ? halfOpen(open, now) : null;
    if (halfOpen != null) {
      return halfOpen;
    }
    SelectionMode applied = applicable(mode, open, now);
    Server home = affinity.home(open, prompt);
    List<ServerSelector.View> views = new ArrayList<>(open.size());
    for (Server server : open) {
      views.add(view(server, prompt, server == home, applied, now));
    }
    int at =
        shared.heard() && open.stream().noneMatch(Server::tellsLoad)
            ? ServerSelector.pickSpread(views, affinity.ranks(open, prompt), prompt.total())
            : ServerSelector.pick(views, prompt.total(), turn++);
    return at < 0 ? null : open.get(at);
  }

  private static Server halfOpen(List<Server> open, long now) {
    for (Server server : open) {
      if (server.awaitsProbe(now) && !server.avoided(now)) {
        return server;
      }
    }
    return null;
  }

  /** Where no server served lately, those that erred are still to be told from the others. */
  private static SelectionMode applicable(SelectionMode mode, List<Server> open, long now) {
    boolean noneServedLately =
        mode == SelectionMode.AFTER_ERROR
            && open.stream().allMatch(server -> passedOver(server, mode, now));
    return noneServedLately ? SelectionMode.SINGLE : mode;
  }

  private ServerSelector.View view(
      Server server, Prompt prompt, boolean home, SelectionMode mode, long now) {
    return new ServerSelector.View(
        server.memory().known(prompt),
        home ? prompt.sharedTokens() : 0,
        server.running(now),
        server.waiting(now),
        server.entry().maxConcurrency(),
        server.unreadTokens(),
        server.placeMs(),
        zone.equals(server.entry().zone()),
        passedOver(server, mode, now));
  }

  private static boolean passedOver(Server server, SelectionMode mode, long now) {
    return server.avoided(now)
        || server.ejected(mode.probesEarly(), now)
        || mode == SelectionMode.AFTER_ERROR && !server.servedLately(now);
  }

  /** Whether a request for that server is refused at once; see {@link AdmissionPolicy}. */
  public boolean refuses(Server server, Prompt prompt, long dueMs) {
    ServerSelector.View view = view(server, prompt, false, SelectionMode.SINGLE, timers.now());
    boolean allSeen = shared.heard() && !server.tellsLoad();
    return AdmissionPolicy.refuses(
        new AdmissionPolicy.Estimate(ServerSelector.waitMs(view), allSeen), dueMs);
  }

  /** Whether it failed or erred lately or is silent. */
  public boolean avoided(Server server) {
    long now = timers.now();
    return server.avoided(now) || server.ejected(false, now);
  }

  /** Whether it can be chosen and neither failed nor erred lately. */
  public boolean available(Server server) {
    return !server.gone() && !server.misplaced() && !avoided(server);
  }

  /** Begins a try; what is heard of it comes later, never within this call. */
  public Attempt start(Server server, OutgoingRequest out, AttemptListener heard) {
    counters.count(RequestCounters.Event.TRY);
    Attempt one = new Attempt(server, out, heard, timers.now());
    if (server.begun(one)) {
      counters.count(RequestCounters.Event.PROBED);
    }
    server.memory().add(out.prompt());
    pool.carry(server, one);
    return one;
  }

  private void sweep() {
    long now = timers.now();
    for (Server server : byId.values()) {
      for (ServerConnection c : new ArrayList<>(server.idle)) {
        if (!c.fresh(now)) {
          c.close();
        }
      }
    }
    if (!pool.stopped()) {
      timers.schedule(SWEEP_MS, this::sweep);
    }
  }

  /** Closes the idle connections; what runs goes on. */
  public void stop() {
    pool.stop();
    for (Server server : byId.values()) {
      for (ServerConnection c : new ArrayList<>(server.idle)) {
        c.close();
      }
    }
  }
}
