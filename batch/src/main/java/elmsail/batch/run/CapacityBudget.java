package elmsail.batch.run;

import elmsail.batch.ItemServers;
import elmsail.config.Route;
import java.util.HashMap;
import java.util.Map;

/**
 * The number of items that one dispatch may still start on each route. The servers' capacity is
 * queried once per route.
 */
final class CapacityBudget {
  private final ItemServers servers;
  private final Map<String, Integer> remainingByRoute = new HashMap<>();

  CapacityBudget(ItemServers servers) {
    this.servers = servers;
  }

  /** The number of items of the route that may still be started; zero or negative for none. */
  int remaining(Route route) {
    return remainingByRoute.computeIfAbsent(route.name(), name -> servers.availableCapacity(route));
  }

  /** Accounts for one started item of the route. */
  void consume(Route route) {
    remainingByRoute.merge(route.name(), -1, Integer::sum);
  }

  /** Sets the remaining capacity of the route to zero, after the servers took no further item. */
  void exhaust(Route route) {
    remainingByRoute.put(route.name(), 0);
  }
}
