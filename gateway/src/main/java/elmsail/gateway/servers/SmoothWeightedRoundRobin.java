package elmsail.gateway.servers;

import elmsail.config.Route;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Smooth weighted round robin over the shares of one route: of any run of requests each share gets
 * its part to within about one request. Drawn independently, a share's part of some hundred
 * requests would be off by several hundredths. It begins at a random place, as all gateways would
 * favour the same share at first otherwise.
 */
final class SmoothWeightedRoundRobin {
  /** More than the requests after which the rotation of usual weights repeats itself. */
  private static final int MAX_INITIAL_SKIP = 1_000;

  private final List<Route.WeightedService> shares;

  /** What each share is owed, in requests; negative where it was ahead. */
  private final Map<Route.WeightedService, Double> currentWeights = new HashMap<>();

  SmoothWeightedRoundRobin(List<Route.WeightedService> shares, RandomGenerator random) {
    this.shares = List.copyOf(shares);
    if (shares.size() > 1) {
      for (int skipped = random.nextInt(MAX_INITIAL_SKIP); skipped > 0; skipped--) {
        next(shares);
      }
    }
  }

  boolean hasShares(List<Route.WeightedService> others) {
    return shares.equals(others);
  }

  /**
   * The next request's share among these, of which there is one at least. A share without a server
   * is asked for again without those that were taken before; it counts as served, so that it does
   * not get everything once it has a server again.
   */
  Route.WeightedService next(List<Route.WeightedService> among) {
    if (among.size() == 1) {
      return among.get(0);
    }
    double totalWeight = 0;
    for (Route.WeightedService share : among) {
      totalWeight += share.weight();
    }
    Route.WeightedService selected = null;
    for (Route.WeightedService share : among) {
      if (share.weight() > 0) {
        currentWeights.merge(share, share.weight() / totalWeight, Double::sum);
        selected =
            selected == null || currentWeights.get(share) > currentWeights.get(selected)
                ? share
                : selected;
      }
    }
    if (selected == null) {
      return among.get(0);
    }
    currentWeights.merge(selected, -1.0, Double::sum);
    return selected;
  }
}
