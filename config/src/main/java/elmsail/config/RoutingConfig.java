package elmsail.config;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A validated routing configuration: routes by host and path prefix, the services that they forward
 * to, and the limits of client connections. Immutable; read by {@link RoutingConfigReader}.
 */
public interface RoutingConfig {
  /** The version, at least 1; a higher one is newer. */
  long version();

  /**
   * Finds the route of a request: among the host's routes whose prefix the path starts with, the
   * route with the longest prefix.
   *
   * @param host the value of the {@code Host} header, with or without a port, in upper or lower
   *     case; may be null
   * @return empty if no route matches
   */
  Optional<Route> match(String host, String path);

  /** The route with this name; null if there is none. */
  Route routeByName(String name);

  /**
   * Whether requests need the key of a tenant, on all routes that are not open ({@link
   * Route#isOpen}).
   */
  default boolean requiresKeys() {
    return false;
  }

  /** The tenant that a key belongs to; empty if no tenant has it. */
  default Optional<Tenant> tenantByKey(String key) {
    return Optional.empty();
  }

  /**
   * Whether the host has an open batch route ({@link Route#isOpen}).
   *
   * @param host the value of the {@code Host} header; may be null
   */
  default boolean hasOpenBatchRoute(String host) {
    return false;
  }

  /**
   * The priorities of tenants that have a key, distinct and ascending; empty if there are no
   * tenants.
   */
  default List<Integer> tenantPriorities() {
    return List.of();
  }

  /** The priorities of all routes but batch routes, distinct and ascending. */
  default List<Integer> routePriorities() {
    return List.of();
  }

  /** All services by name; unmodifiable. */
  Map<String, Service> services();

  /** The limits of every client connection. */
  ClientLimits limits();

  /**
   * The limits of the size and duration of a client's requests.
   *
   * @param maxHeaderBytes maximum size of a request's start line and headers ({@code
   *     envelope_bytes})
   * @param maxBodyBytes maximum size of a request's body ({@code parcel_bytes})
   * @param headerTimeoutMs maximum time from the first to the last byte of the headers ({@code
   *     envelope_ms})
   * @param idleTimeoutMs maximum idle time of a connection between requests ({@code idle_ms})
   */
  record ClientLimits(
      int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {}
}
