package elmsail.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads an operator's configuration and checks all that makes one invalid by itself. Whether its
 * edition is higher than the current one, and what it builds on, the caller checks. Fields not
 * known are passed over.
 */
public final class RoutingConfigReader {
  /** What holds where {@code limits} are not given: as the protocol's example has them. */
  private static final RoutingConfig.ClientLimits USUAL =
      new RoutingConfig.ClientLimits(16_384, 4_194_304, 3_000, 15_000);

  private RoutingConfigReader() {}

  /**
   * Fails with BAD_CALL, and the path of the key at fault, if the configuration is invalid: not
   * whole, a service not known, two routes at one place or of one name, no weight, no {@code
   * give_up_ms} above 0 (routes of jobs need none), no edition, a prefix without its slashes, a
   * field of a wrong type.
   */
  public static RoutingConfig read(byte[] bytes) {
    Fields root = Fields.root(StrictJson.read(bytes));
    long edition = root.wholeAboveZero("edition");
    Map<String, Service> services = new LinkedHashMap<>();
    for (Fields fields : root.list("postal_lines")) {
      Service service = service(fields);
      if (services.put(service.name(), service) != null) {
        throw fields.fault("name", "two services are called " + service.name());
      }
    }
    List<Route> routes = new ArrayList<>();
    Set<String> names = new HashSet<>();
    Set<String> places = new HashSet<>();
    for (Fields fields : root.list("routes")) {
      Route route = route(fields, services);
      if (!names.add(route.name())) {
        throw fields.fault("name", "two routes are called " + route.name());
      }
      if (!places.add(route.host() + route.prefix())) {
        throw fields.fault(
            "lane_prefix", "two routes have " + route.host() + " and " + route.prefix());
      }
      routes.add(route);
    }
    return new ValidatedConfig(edition, routes, services, limits(root));
  }

  private static Service service(Fields fields) {
    int berths = 0;
    long kvTokens = 0;
    if (fields.has("engine")) {
      Fields engine = fields.inner("engine");
      berths = engine.countOr("berths", 0);
      kvTokens = engine.amountOr("kv_tokens", 0);
    }
    return new Service(
        fields.text("name"),
        fields.textOr("health", "/health"),
        fields.countOr("berth_cap", 0),
        berths,
        kvTokens);
  }

  private static Route route(Fields fields, Map<String, Service> services) {
    String name = fields.text("name");
    String host = ValidatedConfig.plainHost(fields.text("depot"));
    if (host.isEmpty() || host.indexOf('/') >= 0) {
      throw fields.fault("depot", "is no host");
    }
    String prefix = fields.text("lane_prefix");
    if (prefix.charAt(0) != '/' || prefix.charAt(prefix.length() - 1) != '/') {
      throw fields.fault("lane_prefix", "does not begin and end with a slash");
    }
    Route.Kind kind = kind(fields);
    long giveUpMs = fields.amountOr("give_up_ms", 0);
    if (giveUpMs == 0 && (kind != Route.Kind.SACK || fields.has("give_up_ms"))) {
      throw fields.fault("give_up_ms", fields.has("give_up_ms") ? "is 0" : "is missing");
    }
    double shelfS = fields.numberOr("shelf_s", 0);
    if (shelfS < 0) {
      throw fields.fault("shelf_s", "is below 0");
    }
    return new Route(
        name,
        host,
        prefix,
        kind,
        giveUpMs,
        fields.amountOr("due_ms", 0),
        fields.countOr("precedence", 0),
        shares(fields, services),
        Math.max(1, fields.countOr("tries", 1)),
        fields.flag("resume"),
        fields.amountOr("gap_aim_ms", 0),
        fields.amountOr("run_due_ms", 0),
        (long) Math.ceil(shelfS * 1_000),
        fields.amountOr("most_waiting", 0));
  }

  private static Route.Kind kind(Fields fields) {
    String word = fields.text("route_class");
    return switch (word) {
      case "safe" -> Route.Kind.SAFE;
      case "unsafe" -> Route.Kind.UNSAFE;
      case "stream" -> Route.Kind.STREAM;
      case "sack" -> Route.Kind.SACK;
      default -> throw fields.fault("route_class", "is none of safe, unsafe, stream, sack");
    };
  }

  private static List<Route.Share> shares(Fields fields, Map<String, Service> services) {
    List<Route.Share> shares = new ArrayList<>(2);
    if (fields.has("postal_line")) {
      shares.add(new Route.Share(known(fields, services), 1));
    }
    if (!fields.has("share_out")) {
      if (shares.isEmpty()) {
        throw fields.fault("postal_line", "is missing, and share_out too");
      }
      return List.copyOf(shares);
    }
    shares.clear();
    double sum = 0;
    for (Fields part : fields.list("share_out")) {
      double share = part.numberOr("share", 0);
      if (share < 0) {
        throw part.fault("share", "is below 0");
      }
      sum += share;
      shares.add(new Route.Share(known(part, services), share));
    }
    if (!(sum > 0) || !Double.isFinite(sum)) {
      throw fields.fault("share_out", "the weights do not add up to more than 0");
    }
    return List.copyOf(shares);
  }

  private static String known(Fields fields, Map<String, Service> services) {
    String service = fields.text("postal_line");
    if (!services.containsKey(service)) {
      throw fields.fault("postal_line", "the service " + service + " is not known");
    }
    return service;
  }

  private static RoutingConfig.ClientLimits limits(Fields root) {
    if (!root.has("limits")) {
      return USUAL;
    }
    Fields given = root.inner("limits");
    return new RoutingConfig.ClientLimits(
        above(given.countOr("envelope_bytes", 0), USUAL.headBytes()),
        above(given.countOr("parcel_bytes", 0), USUAL.bodyBytes()),
        above(given.amountOr("envelope_ms", 0), USUAL.headMs()),
        above(given.amountOr("idle_ms", 0), USUAL.idleMs()));
  }

  private static int above(int given, int usual) {
    return given > 0 ? given : usual;
  }

  private static long above(long given, long usual) {
    return given > 0 ? given : usual;
  }
}
