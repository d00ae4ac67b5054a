package elmsail.batch.run;

import elmsail.batch.ItemServers;
import elmsail.config.Route;
import java.util.HashMap;
import java.util.Map;

/** How many items may still be started in one dispatch, by route. Each route is queried once. */
final class CapacityBudget {
  private final ItemServers servers;
  private final Map<String, Integer> remainingByRoute = new HashMap<>();

  CapacityBudget(ItemServers servers) {
    this.servers = servers;
  }

  /** How many items of the route may still be started; zero or less for none. */
  int remaining(Route route) {
    return remainingByRoute.computeIfAbsent(route.name(), name -> servers.availableCapacity(route));
  }

  /** An item of the route was started. */
  void take(Route route) {
    remainingByRoute.merge(route.name(), -1, Integer::sum);
  }

  /** The servers had no capacity after all. */
  void exhaust(Route route) {
    remainingByRoute.put(route.name(), 0);
  }
}
