package elmsail.gateway.requests;

import elmsail.config.RoutingConfig;
import java.util.Collections;
import java.util.List;

/**
 * Maps the priorities of a request's tenant and route, which are unbounded, to the few values that
 * servers know for client requests. The tenant decides before the route. A more urgent request
 * never gets a less urgent value; the values are distinct as far as there are enough of them.
 * Stateless.
 */
final class RequestPriority {
  /** Of a client request; 0 is kept for resumed streams. */
  static final int MOST_URGENT = 1;

  /** Of a client request; batch items rank behind it. */
  static final int LEAST_URGENT = 7;

  private static final int LEVELS = LEAST_URGENT - MOST_URGENT + 1;

  /** Of a request in nobody's name, as of a tenant for which the configuration gives none. */
  private static final int ANONYMOUS_PRIORITY = 0;

  private RequestPriority() {}

  /** The priority on the wire of a request under this configuration; 0 would be the most urgent. */
  static int of(RoutingConfig config, Authentication authentication, int routePriority) {
    int tenantPriority =
        authentication instanceof Authentication.OfTenant ofTenant
            ? ofTenant.tenant().priority()
            : ANONYMOUS_PRIORITY;
    return of(tenantPriority, config.tenantPriorities(), routePriority, config.routePriorities());
  }

  /**
   * Divides the levels among the tenants' priorities, and each part among the routes' priorities.
   *
   * @param tenantPriorities all that occur, distinct and ascending; without any, the routes'
   *     priorities are taken as levels
   * @param routePriorities likewise
   */
  static int of(
      int tenantPriority,
      List<Integer> tenantPriorities,
      int routePriority,
      List<Integer> routePriorities) {
    if (tenantPriorities.isEmpty()) {
      return MOST_URGENT + Math.min(LEVELS - 1, Math.max(0, routePriority));
    }
    int bands = Math.min(LEVELS, tenantPriorities.size());
    int band = Math.min(bands - 1, rank(tenantPriority, tenantPriorities));
    int start = startOfBand(band, bands);
    int width = startOfBand(band + 1, bands) - start;
    return MOST_URGENT + start + Math.min(width - 1, rank(routePriority, routePriorities));
  }

  /** The first level of a band; those that come first are wider by one where it does not divide. */
  private static int startOfBand(int band, int bands) {
    return band * (LEVELS / bands) + Math.min(band, LEVELS % bands);
  }

  /** How many of these are more urgent. */
  private static int rank(int priority, List<Integer> ascending) {
    int index = Collections.binarySearch(ascending, priority);
    return index >= 0 ? index : -index - 1;
  }
}
