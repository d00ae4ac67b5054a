package elmsail.gateway.servers;

import elmsail.config.Route;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * The round robin of each route; it starts anew when the route's shares have changed. Owned by the
 * gateway's event loop.
 */
final class RouteRoundRobins {
  /** Beyond this the round robin of the least recently used route is dropped. */
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

  /** The round robin of a route under its present shares. */
  SmoothWeightedRoundRobin of(Route route) {
    SmoothWeightedRoundRobin roundRobin = byRoute.get(route.name());
    if (roundRobin == null || !roundRobin.hasShares(route.weightedServices())) {
      roundRobin = new SmoothWeightedRoundRobin(route.weightedServices(), random);
      byRoute.put(route.name(), roundRobin);
    }
    return roundRobin;
  }
}
