package elmsail.gateway.requests;

import elmsail.config.RoutingConfig;
import java.util.Collections;
import java.util.List;

/**
 * Maps the priorities of a request's tenant and route, which are unbounded, to the few levels that
 * servers support for client requests. The tenant's priority takes precedence over the route's. A
 * more urgent request never gets a less urgent level. Different priorities get different levels as
 * long as there are enough levels. Stateless.
 */
final class RequestPriority {
  /** The most urgent level of a client request; 0 is reserved for resumed streams. */
  static final int MOST_URGENT = 1;

  /** The least urgent level of a client request; batch items are less urgent. */
  static final int LEAST_URGENT = 7;

  private static final int LEVELS = LEAST_URGENT - MOST_URGENT + 1;

  /** The priority of a request without a tenant: the default priority of tenants. */
  private static final int ANONYMOUS_PRIORITY = 0;

  private RequestPriority() {}

  /**
   * The value of a request's {@code Priority} header under this configuration; lower values are
   * more urgent.
   */
  static int of(RoutingConfig config, Authentication authentication, int routePriority) {
    int tenantPriority =
        authentication instanceof Authentication.OfTenant ofTenant
            ? ofTenant.tenant().priority()
            : ANONYMOUS_PRIORITY;
    return of(tenantPriority, config.tenantPriorities(), routePriority, config.routePriorities());
  }

  /**
   * Divides the levels into one band per tenant priority, and each band among the routes'
   * priorities.
   *
   * @param tenantPriorities all tenant priorities of the configuration, distinct and ascending; if
   *     empty, the levels are the routes' priorities, limited to the number of levels
   * @param routePriorities all route priorities of the configuration, distinct and ascending
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

  /**
   * The first level of a band; the first bands are wider by one if the levels do not divide evenly.
   */
  private static int startOfBand(int band, int bands) {
    return band * (LEVELS / bands) + Math.min(band, LEVELS % bands);
  }

  /** The number of priorities in the list that are more urgent. */
  private static int rank(int priority, List<Integer> ascending) {
    int index = Collections.binarySearch(ascending, priority);
    return index >= 0 ? index : -index - 1;
  }
}
