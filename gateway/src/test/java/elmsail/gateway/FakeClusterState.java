package elmsail.gateway;

import elmsail.config.ClusterState;
import elmsail.config.Route;
import elmsail.config.RoutingConfig;
import elmsail.config.ServerEntry;
import elmsail.config.Service;
import elmsail.config.Tenant;
import elmsail.rpc.messages.ClusterView;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A cluster state and configuration that a test sets. */
public final class FakeClusterState implements ClusterState, RoutingConfig {
  public static final String HOST = "nony24.example";

  public final Map<String, Route> routes = new HashMap<>();
  public final Map<String, Service> services = new HashMap<>();
  public volatile List<ServerEntry> servers = List.of();
  public volatile boolean configured = true;

  /** Tenants by key; null if requests need no keys. */
  public volatile Map<String, Tenant> tenantsByKey;

  public volatile long configConfirmedAgeMs;
  public ClientLimits limits = new ClientLimits(2_048, 4_096, 3_000, 15_000);
  public final ClusterView view = new ClusterView();
  private final List<Runnable> listeners = new ArrayList<>();

  /** Adds a route with the given name and the prefix {@code /name/} to service "s". */
  public void addRoute(String name, Route.Kind kind, int maxAttempts, boolean resumable) {
    routes.put(
        "/" + name + "/",
        new Route(
            name,
            HOST,
            "/" + name + "/",
            kind,
            5_000,
            250,
            1,
            List.of(new Route.WeightedService("s", 1)),
            maxAttempts,
            resumable,
            150,
            0,
            0,
            0));
  }

  /** Adds a route whose requests need no key. */
  public void addOpenRoute(String name, Route.Kind kind, int maxAttempts, boolean resumable) {
    addRoute(name, kind, maxAttempts, resumable);
    routes.computeIfPresent(
        "/" + name + "/",
        (prefix, route) ->
            new Route(
                route.name(),
                route.host(),
                route.prefix(),
                route.kind(),
                route.timeoutMs(),
                route.latencyTargetMs(),
                route.priority(),
                route.weightedServices(),
                route.maxAttempts(),
                route.resumable(),
                route.tokenGapTargetMs(),
                route.completionTargetMs(),
                route.itemTtlMs(),
                route.maxWaitingTokens(),
                true));
  }

  /** Sets the request timeout of all routes. */
  public void setRouteTimeoutMs(long ms) {
    routes.replaceAll(
        (prefix, route) ->
            new Route(
                route.name(),
                route.host(),
                route.prefix(),
                route.kind(),
                ms,
                route.latencyTargetMs(),
                route.priority(),
                route.weightedServices(),
                route.maxAttempts(),
                route.resumable(),
                route.tokenGapTargetMs(),
                route.completionTargetMs(),
                route.itemTtlMs(),
                route.maxWaitingTokens()));
  }

  public void notifyListeners() {
    listeners.forEach(Runnable::run);
  }

  @Override
  public RoutingConfig config() {
    return configured ? this : null;
  }

  @Override
  public List<ServerEntry> servers() {
    return servers;
  }

  @Override
  public long configConfirmedAgeMs() {
    return configConfirmedAgeMs;
  }

  @Override
  public long serverListAgeMs() {
    return 0;
  }

  @Override
  public ClusterView view() {
    return view;
  }

  @Override
  public void addListener(Runnable listener) {
    listeners.add(listener);
  }

  @Override
  public long version() {
    return 1;
  }

  @Override
  public Optional<Route> match(String host, String path) {
    int end = path.indexOf('/', 1);
    return !HOST.equals(host) || end < 0
        ? Optional.empty()
        : Optional.ofNullable(routes.get(path.substring(0, end + 1)));
  }

  @Override
  public Route routeByName(String name) {
    return routes.get("/" + name + "/");
  }

  @Override
  public boolean hasOpenBatchRoute(String host) {
    return routes.values().stream()
        .anyMatch(route -> route.kind() == Route.Kind.BATCH && route.isOpen());
  }

  @Override
  public boolean requiresKeys() {
    return tenantsByKey != null;
  }

  @Override
  public Optional<Tenant> tenantByKey(String key) {
    Map<String, Tenant> tenants = tenantsByKey;
    return tenants == null ? Optional.empty() : Optional.ofNullable(tenants.get(key));
  }

  @Override
  public List<Integer> tenantPriorities() {
    Map<String, Tenant> tenants = tenantsByKey;
    return tenants == null
        ? List.of()
        : tenants.values().stream().map(Tenant::priority).distinct().sorted().toList();
  }

  @Override
  public List<Integer> routePriorities() {
    return routes.values().stream().map(Route::priority).distinct().sorted().toList();
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
