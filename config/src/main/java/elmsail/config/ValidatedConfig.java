package elmsail.config;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** The routes of a configuration by name and, longest prefix first, by host. Immutable. */
final class ValidatedConfig implements RoutingConfig {
  private final long version;
  private final Map<String, Route> byName = new LinkedHashMap<>();
  private final Map<String, List<Route>> byHost = new HashMap<>();
  private final Map<String, Service> services;
  private final Optional<Map<String, Tenant>> tenantsByKey;
  private final List<Integer> tenantPriorities;
  private final List<Integer> routePriorities;
  private final ClientLimits limits;

  /**
   * Creates a configuration from validated parts.
   *
   * @param tenantsByKey empty if requests need no keys
   */
  ValidatedConfig(
      long version,
      List<Route> routes,
      Map<String, Service> services,
      Optional<Map<String, Tenant>> tenantsByKey,
      ClientLimits limits) {
    this.version = version;
    this.services = Collections.unmodifiableMap(services);
    this.tenantsByKey = tenantsByKey;
    tenantPriorities =
        ascending(tenantsByKey.orElse(Map.of()).values().stream().map(Tenant::priority));
    routePriorities =
        ascending(
            routes.stream().filter(route -> route.kind() != Route.Kind.BATCH).map(Route::priority));
    this.limits = limits;
    for (Route route : routes) {
      byName.put(route.name(), route);
      byHost.computeIfAbsent(route.host(), host -> new ArrayList<>(1)).add(route);
    }
    for (List<Route> routesOfHost : byHost.values()) {
      routesOfHost.sort(Comparator.comparingInt(route -> -route.prefix().length()));
    }
  }

  private static List<Integer> ascending(Stream<Integer> priorities) {
    return priorities.distinct().sorted().toList();
  }

  /** A host in lower case and without its port; the brackets of an IPv6 address stay. */
  static String normalizedHost(String host) {
    int colon = host.lastIndexOf(':');
    String withoutPort =
        colon >= 0 && host.indexOf(']', colon) < 0 ? host.substring(0, colon) : host;
    return withoutPort.toLowerCase(Locale.ROOT);
  }

  @Override
  public long version() {
    return version;
  }

  @Override
  public Optional<Route> match(String host, String path) {
    List<Route> routesOfHost = routesOf(host);
    for (int i = 0; i < routesOfHost.size(); i++) {
      if (path.startsWith(routesOfHost.get(i).prefix())) {
        return Optional.of(routesOfHost.get(i));
      }
    }
    return Optional.empty();
  }

  private List<Route> routesOf(String host) {
    if (host == null) {
      return List.of();
    }
    List<Route> routesOfHost = byHost.get(host);
    return routesOfHost != null
        ? routesOfHost
        : byHost.getOrDefault(normalizedHost(host), List.of());
  }

  @Override
  public Route routeByName(String name) {
    return byName.get(name);
  }

  @Override
  public boolean requiresKeys() {
    return tenantsByKey.isPresent();
  }

  @Override
  public Optional<Tenant> tenantByKey(String key) {
    return tenantsByKey.map(tenants -> tenants.get(key));
  }

  @Override
  public boolean hasOpenBatchRoute(String host) {
    for (Route route : routesOf(host)) {
      if (route.kind() == Route.Kind.BATCH && route.isOpen()) {
        return true;
      }
    }
    return false;
  }

  @Override
  public List<Integer> tenantPriorities() {
    return tenantPriorities;
  }

  @Override
  public List<Integer> routePriorities() {
    return routePriorities;
  }

  @Override
  public Map<String, Service> services() {
    return services;
  }

  @Override
  public ClientLimits limits() {
    return limits;
  }
}
