package elmsail.batch;

import elmsail.config.Route;
import elmsail.config.RoutingConfig;
import elmsail.config.Service;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A routing configuration that contains only routes. */
record SimConfig(long version, List<Route> routes, boolean requiresKeys) implements RoutingConfig {

  /** Creates a configuration without tenants. */
  SimConfig(long version, List<Route> routes) {
    this(version, routes, false);
  }

  /** The next version of this configuration, with tenants. */
  SimConfig withKeysRequired() {
    return new SimConfig(version + 1, routes, true);
  }

  /** The next version of this configuration, with a copy of the first route that needs no key. */
  SimConfig withOpenRoute(String prefix) {
    Route first = routes.get(0);
    List<Route> extended = new ArrayList<>(routes);
    extended.add(
        new Route(
            first.name() + "-open",
            first.host(),
            prefix,
            first.kind(),
            first.timeoutMs(),
            first.latencyTargetMs(),
            first.priority(),
            first.weightedServices(),
            first.maxAttempts(),
            first.resumable(),
            first.tokenGapTargetMs(),
            first.completionTargetMs(),
            first.itemTtlMs(),
            first.maxWaitingTokens(),
            true));
    return new SimConfig(version + 1, extended, requiresKeys);
  }

  @Override
  public Optional<Route> match(String host, String path) {
    for (Route route : routes) {
      if (route.host().equals(host) && path.startsWith(route.prefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  @Override
  public Route routeByName(String name) {
    for (Route route : routes) {
      if (route.name().equals(name)) {
        return route;
      }
    }
    return null;
  }

  @Override
  public Map<String, Service> services() {
    return Map.of();
  }

  @Override
  public ClientLimits limits() {
    return new ClientLimits(16_384, 4 << 20, 3_000, 15_000);
  }
}
