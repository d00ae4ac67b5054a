package elmsail.gateway.servers;

import elmsail.config.Route;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * The weighted round robin of each route. It is created anew when the weights of the route's
 * services change. Owned by the gateway's event loop.
 */
final class RouteRoundRobins {
  /**
   * Maximum number of routes; beyond it the round robin of the least recently used route is
   * removed.
   */
  private static final int MAX_ROUTES = 4_096;

  private final RandomGenerator random;
  private final Map<String, SmoothWeightedRoundRobin> byRoute =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, SmoothWeightedRoundRobin> eldest) {
          return size() > MAX_ROUTES;
        }
      };

  RouteRoundRobins(RandomGenerator random) {
    this.random = random;
  }

  /** The round robin of a route with its current weights. */
  SmoothWeightedRoundRobin of(Route route) {
    SmoothWeightedRoundRobin roundRobin = byRoute.get(route.name());
    if (roundRobin == null || !roundRobin.hasShares(route.weightedServices())) {
      roundRobin = new SmoothWeightedRoundRobin(route.weightedServices(), random);
      byRoute.put(route.name(), roundRobin);
    }
    return roundRobin;
  }
}
