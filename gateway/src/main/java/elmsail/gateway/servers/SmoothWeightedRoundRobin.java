package elmsail.gateway.servers;

import elmsail.config.Route;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Smooth weighted round robin over the services of one route (the algorithm of nginx): in any run
 * of requests each service gets its share to within about one request. With independent random
 * draws the share of some hundred requests would be off by several percent. It starts at a random
 * point, since otherwise all gateways would favour the same service at first. Owned by the
 * gateway's event loop.
 */
final class SmoothWeightedRoundRobin {
  /** More than the period of the usual weights. */
  private static final int MAX_INITIAL_SKIP = 1_000;

  private final List<Route.WeightedService> shares;

  /** Current weight of each service, in requests; negative where it was ahead of its share. */
  private final Map<Route.WeightedService, Double> currentWeights = new HashMap<>();

  SmoothWeightedRoundRobin(List<Route.WeightedService> shares, RandomGenerator random) {
    this.shares = List.copyOf(shares);
    if (shares.size() > 1) {
      for (int skipped = random.nextInt(MAX_INITIAL_SKIP); skipped > 0; skipped--) {
        next(shares);
      }
    }
  }

  /** Whether it was created for these shares. */
  boolean hasShares(List<Route.WeightedService> others) {
    return shares.equals(others);
  }

  /**
   * The share of the next request. A share without a usable server is passed again without it; it
   * counts as served, so that it does not get everything once it has a server again.
   *
   * @param candidates the shares to choose from, at least one
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
