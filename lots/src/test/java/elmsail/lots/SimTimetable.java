package elmsail.lots;

import elmsail.timetable.Route;
import elmsail.timetable.Service;
import elmsail.timetable.Timetable;
import java.util.List;
import java.util.Map;

/** A configuration of some routes. */
record SimTimetable(long edition, List<Route> routes) implements Timetable {
  @Override
  public Route find(String host, String path) {
    for (Route route : routes) {
      if (route.host().equals(host) && path.startsWith(route.prefix())) {
        return route;
      }
    }
    return null;
  }

  @Override
  public Route named(String name) {
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
