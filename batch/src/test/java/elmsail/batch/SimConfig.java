package elmsail.batch;

import elmsail.config.Route;
import elmsail.config.RoutingConfig;
import elmsail.config.Service;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A routing configuration of these routes only. */
record SimConfig(long version, List<Route> routes) implements RoutingConfig {
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
