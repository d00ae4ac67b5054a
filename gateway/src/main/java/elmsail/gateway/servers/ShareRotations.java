package elmsail.gateway.servers;

import elmsail.config.Route;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/** The rotation of each route; one whose shares have changed begins anew. */
final class ShareRotations {
  /** Beyond this the route that was asked for longest ago begins anew the next time. */
  private static final int MOST_ROUTES = 4_096;

  private final RandomGenerator chance;
  private final Map<String, ShareRotation> byRoute =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, ShareRotation> eldest) {
          return size() > MOST_ROUTES;
        }
      };

  ShareRotations(RandomGenerator chance) {
    this.chance = chance;
  }

  ShareRotation of(Route route) {
    ShareRotation there = byRoute.get(route.name());
    if (there == null || !there.isOf(route.weightedServices())) {
      there = new ShareRotation(route.weightedServices(), chance);
      byRoute.put(route.name(), there);
    }
    return there;
  }
}
