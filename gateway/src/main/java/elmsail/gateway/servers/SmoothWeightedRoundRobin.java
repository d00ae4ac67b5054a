package elmsail.gateway.servers;

import elmsail.config.Route;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Smooth weighted round robin over the services of one route (the algorithm of nginx): in any
 * sequence of requests the number of requests of each service deviates from its share by about one
 * at most. With independent random selection the shares among some hundred requests would deviate
 * by several percent. The sequence starts at a random point, because otherwise all gateways would
 * start with the same service. Owned by the gateway's event loop.
 */
final class SmoothWeightedRoundRobin {
  /** Upper bound of the random starting point, longer than the period of usual weights. */
  private static final int MAX_INITIAL_SKIP = 1_000;

  private final List<Route.WeightedService> shares;

  /**
   * Current weight of each service, in requests; negative if the service has received more than its
   * share.
   */
  private final Map<Route.WeightedService, Double> currentWeights = new HashMap<>();

  SmoothWeightedRoundRobin(List<Route.WeightedService> shares, RandomGenerator random) {
    this.shares = List.copyOf(shares);
    if (shares.size() > 1) {
      for (int skipped = random.nextInt(MAX_INITIAL_SKIP); skipped > 0; skipped--) {
        next(shares);
      }
    }
  }

  /** Whether this round robin was created for these shares. */
  boolean hasShares(List<Route.WeightedService> others) {
    return shares.equals(others);
  }

  /**
   * Selects the service share of the next request. If the selected service has no usable server,
   * the caller calls this method again without its share. The selection still counts, so that the
   * service does not receive all requests once it has a usable server again.
   *
   * @param candidates the shares to select from, at least one
   */
  Route.WeightedService next(List<Route.WeightedService> candidates) {
    if (candidates.size() == 1) {
      return candidates.get(0);
    }
    double totalWeight = 0;
    for (Route.WeightedService share : candidates) {
      totalWeight += share.weight();
    }
    Route.WeightedService selected = null;
    for (Route.WeightedService share : candidates) {
      if (share.weight() > 0) {
        currentWeights.merge(share, share.weight() / totalWeight, Double::sum);
        selected =
            selected == null || currentWeights.get(share) > currentWeights.get(selected)
                ? share
                : selected;
      }
    }
    if (selected == null) {
      return candidates.get(0);
    }
    currentWeights.merge(selected, -1.0, Double::sum);
    return selected;
  }
}
