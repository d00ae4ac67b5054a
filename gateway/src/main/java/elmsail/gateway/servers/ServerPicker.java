package elmsail.gateway.servers;

import elmsail.config.Route;
import elmsail.gateway.load.PeerLoads;
import elmsail.runtime.MonotonicClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Picks the server of an attempt. The service comes from the route's weighted round robin; among
 * its servers {@link ServerSelector} picks the one with the lowest estimated cost. Servers that are
 * ejected, suspect or at their connection limit are avoided. Owned by the gateway's event loop.
 */
public final class ServerPicker {
  private final MonotonicClock clock;
  private final String zone;
  private final Function<String, List<Server>> serversByService;
  private final ConnectionPool pool;
  private final PeerLoads peerLoads;
  private final RouteRoundRobins roundRobins;
  private final PromptAffinity affinity;

  /**
   * Rotates the server that is compared first, so that requests are spread over servers of equal
   * cost.
   */
  private int rotation;

  /**
   * A picker for one gateway.
   *
   * @param zone the gateway's zone
   * @param serversByService returns the servers in use of a service, in a new list
   * @param pool determines which servers have a free connection or may get a new one
   */
  ServerPicker(
      MonotonicClock clock,
      String zone,
      Function<String, List<Server>> serversByService,
      ConnectionPool pool,
      PeerLoads peerLoads,
      RouteRoundRobins roundRobins) {
    this.clock = clock;
    this.zone = zone;
    this.serversByService = serversByService;
    this.pool = pool;
    this.peerLoads = peerLoads;
    this.roundRobins = roundRobins;
    affinity = new PromptAffinity(zone);
  }

  /** As {@link #pick(Route, Prompt, Set, SelectionMode)} with {@code NOT_RETRYABLE}. */
  public Optional<Server> pick(Route route, Prompt prompt, Set<Server> excluded) {
    return pick(route, prompt, excluded, SelectionMode.NOT_RETRYABLE);
  }

  /**
   * Picks a server for the next attempt of a request. Each call advances the route's round robin.
   *
   * @param excluded servers that must not be picked, such as those of earlier attempts
   * @param mode what happens if the picked server returns an error: the error reaches the client,
   *     or the request is retried
   * @return the server; empty if no service of the route has a usable one
   */
  public Optional<Server> pick(
      Route route, Prompt prompt, Set<Server> excluded, SelectionMode mode) {
    SmoothWeightedRoundRobin roundRobin = roundRobins.of(route);
    List<Route.WeightedService> remaining = new ArrayList<>(route.weightedServices());
    while (!remaining.isEmpty()) {
      Route.WeightedService share = roundRobin.next(remaining);
      remaining.remove(share);
      Optional<Server> server =
          share.weight() > 0
              ? pickAmong(serversByService.apply(share.service()), prompt, excluded, mode)
              : Optional.empty();
      if (server.isPresent()) {
        return server;
      }
    }
    return Optional.empty();
  }

  private Optional<Server> pickAmong(
      List<Server> servers, Prompt prompt, Set<Server> excluded, SelectionMode mode) {
    long now = clock.now();
    List<Server> usable = new ArrayList<>(servers.size());
    for (Server server : servers) {
      if (!excluded.contains(server)
          && !server.isRemoved()
          && !server.health().hasReturnedMisdirected()
          && pool.hasCapacity(server)) {
        usable.add(server);
      }
    }
    Optional<Server> probeTarget =
        mode == SelectionMode.PROBE_PREFERRED ? firstAwaitingProbe(usable, now) : Optional.empty();
    return probeTarget.isPresent() ? probeTarget : pickCheapest(usable, prompt, mode, now);
  }

  private static Optional<Server> firstAwaitingProbe(List<Server> usable, long now) {
    for (Server server : usable) {
      if (server.health().isProbeDue(now) && !server.health().isSuspect(now)) {
        return Optional.of(server);
      }
    }
    return Optional.empty();
  }

  private Optional<Server> pickCheapest(
      List<Server> usable, Prompt prompt, SelectionMode mode, long now) {
    SelectionMode effectiveMode = effectiveMode(mode, usable, now);
    Server affinityServer = affinity.affinityServer(usable, prompt);
    List<ServerSelector.Candidate> candidates = new ArrayList<>(usable.size());
    for (Server server : usable) {
      candidates.add(candidate(server, prompt, server == affinityServer, effectiveMode, now));
    }
    int index =
        peerLoads.isAvailable() && usable.stream().noneMatch(server -> server.load().reportsLoad())
            ? ServerSelector.pickSpread(
                candidates, affinity.ranks(usable, prompt), prompt.totalTokens())
            : ServerSelector.pick(candidates, prompt.totalTokens(), rotation++);
    return index < 0 ? Optional.empty() : Optional.of(usable.get(index));
  }

  /**
   * Falls back from {@code AFTER_ERROR} if no server had a recent success, so that servers without
   * errors are still preferred to those that returned errors.
   */
  private static SelectionMode effectiveMode(SelectionMode mode, List<Server> usable, long now) {
    boolean noneServedRecently =
        mode == SelectionMode.AFTER_ERROR
            && usable.stream().allMatch(server -> isAvoided(server, mode, now));
    return noneServedRecently ? SelectionMode.NOT_RETRYABLE : mode;
  }

  private ServerSelector.Candidate candidate(
      Server server, Prompt prompt, boolean isAffinityServer, SelectionMode mode, long now) {
    ServerLoadTracker load = server.load();
    return new ServerSelector.Candidate(
        server.prefixCache().cachedTokens(prompt),
        isAffinityServer ? prompt.sharedPrefixTokens() : 0,
        load.runningRequests(now),
        load.queuedRequests(now),
        server.entry().maxConcurrency(),
        load.pendingPrefillTokens(),
        load.slotReleaseIntervalMs(),
        zone.equals(server.entry().zone()),
        isAvoided(server, mode, now));
  }

  private static boolean isAvoided(Server server, SelectionMode mode, long now) {
    ServerHealth health = server.health();
    return health.isSuspect(now)
        || health.mustBeAvoided(mode.probesEarly(), now)
        || mode == SelectionMode.AFTER_ERROR && !health.servedRecently(now);
  }

  /**
   * Whether admission control rejects a request for which this server was picked.
   *
   * @param latencyTargetMs the route's latency target, or 0 for none
   */
  public boolean rejects(Server server, Prompt prompt, long latencyTargetMs) {
    ServerSelector.Candidate candidate =
        candidate(server, prompt, false, SelectionMode.NOT_RETRYABLE, clock.now());
    boolean fromSharedLoad = peerLoads.isAvailable() && !server.load().reportsLoad();
    return AdmissionPolicy.rejects(
        new AdmissionPolicy.Estimate(ServerSelector.waitMs(candidate), fromSharedLoad),
        latencyTargetMs);
  }

  /** Whether the server is suspect or ejected. */
  public boolean isUnhealthy(Server server) {
    long now = clock.now();
    return server.health().isSuspect(now) || server.health().mustBeAvoided(false, now);
  }

  /** Whether the server may be picked and is healthy. */
  public boolean isAvailable(Server server) {
    return !server.isRemoved() && !server.health().hasReturnedMisdirected() && !isUnhealthy(server);
  }
}
