package elmsail.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Parses and validates an operator's configuration. The caller has to check that its version is
 * higher than the current one. Unknown fields are ignored. Stateless.
 */
public final class RoutingConfigReader {
  private static final int MS_PER_SECOND = 1_000;

  /** The defaults of {@code limits}, as in the protocol's example. */
  private static final RoutingConfig.ClientLimits DEFAULT_LIMITS =
      new RoutingConfig.ClientLimits(16_384, 4_194_304, 3_000, 15_000);

  private RoutingConfigReader() {}

  /**
   * Reads a configuration.
   *
   * @param bytes one JSON object in UTF-8
   * @throws elmsail.runtime.ElmsailException INVALID_ARGUMENT, with the path of the first invalid
   *     field: incomplete JSON, a missing version, a field of a wrong type, an unknown service, two
   *     routes or services with the same name, two routes with the same host and prefix, weights
   *     that add up to 0, a route other than a batch route without {@code give_up_ms}, a prefix
   *     that does not begin and end with a slash, two tenants with the same name or the same key, a
   *     fleet size whose floor is above its ceiling
   */
  public static RoutingConfig read(byte[] bytes) {
    ConfigFields root = ConfigFields.root(StrictJson.read(bytes));
    long version = root.requiredPositiveLong("edition");
    Map<String, Service> services = new LinkedHashMap<>();
    for (ConfigFields fields : root.requiredObjects("postal_lines")) {
      Service service = service(fields);
      if (services.put(service.name(), service) != null) {
        throw fields.invalid("name", "two services are called " + service.name());
      }
    }
    List<Route> routes = new ArrayList<>();
    Set<String> routeNames = new HashSet<>();
    Set<String> hostPrefixes = new HashSet<>();
    for (ConfigFields fields : root.requiredObjects("routes")) {
      Route route = route(fields, services);
      if (!routeNames.add(route.name())) {
        throw fields.invalid("name", "two routes are called " + route.name());
      }
      if (!hostPrefixes.add(route.host() + route.prefix())) {
        throw fields.invalid(
            "lane_prefix", "two routes have " + route.host() + " and " + route.prefix());
      }
      routes.add(route);
    }
    return new ValidatedConfig(
        version, routes, services, TenantsReader.read(root), clientLimits(root));
  }

  private static Service service(ConfigFields fields) {
    int maxConcurrency = 0;
    long kvCacheTokens = 0;
    if (fields.has("engine")) {
      ConfigFields engine = fields.requiredObject("engine");
      maxConcurrency = engine.nonNegativeIntOr("berths", 0);
      kvCacheTokens = engine.nonNegativeLongOr("kv_tokens", 0);
    }
    return new Service(
        fields.requiredString("name"),
        fields.stringOr("health", "/health"),
        fields.nonNegativeIntOr("berth_cap", 0),
        maxConcurrency,
        kvCacheTokens,
        fleetSize(fields));
  }

  private static Optional<FleetSize> fleetSize(ConfigFields service) {
    if (!service.has("fleet_size")) {
      return Optional.empty();
    }
    ConfigFields fields = service.requiredObject("fleet_size");
    int minServers = fields.nonNegativeIntOr("floor", 0);
    int maxServers = fields.nonNegativeIntOr("ceiling", Integer.MAX_VALUE);
    if (minServers > maxServers) {
      throw fields.invalid("floor", "is above the ceiling");
    }
    long bootMs = (long) Math.ceil(fields.numberOr("boot_s", 0) * MS_PER_SECOND);
    return Optional.of(new FleetSize(minServers, maxServers, Math.max(0, bootMs)));
  }

  private static Route route(ConfigFields fields, Map<String, Service> services) {
    String name = fields.requiredString("name");
    String host = ValidatedConfig.normalizedHost(fields.requiredString("depot"));
    if (host.isEmpty() || host.indexOf('/') >= 0) {
      throw fields.invalid("depot", "is no host");
    }
    String prefix = fields.requiredString("lane_prefix");
    if (prefix.charAt(0) != '/' || prefix.charAt(prefix.length() - 1) != '/') {
      throw fields.invalid("lane_prefix", "does not begin and end with a slash");
    }
    Route.Kind kind = kind(fields);
    long timeoutMs = fields.nonNegativeLongOr("give_up_ms", 0);
    if (timeoutMs == 0 && (kind != Route.Kind.BATCH || fields.has("give_up_ms"))) {
      throw fields.invalid("give_up_ms", fields.has("give_up_ms") ? "is 0" : "is missing");
    }
    double itemTtlSeconds = fields.numberOr("shelf_s", 0);
    if (itemTtlSeconds < 0) {
      throw fields.invalid("shelf_s", "is below 0");
    }
    return new Route(
        name,
        host,
        prefix,
        kind,
        timeoutMs,
        fields.nonNegativeLongOr("due_ms", 0),
        fields.nonNegativeIntOr("precedence", 0),
        weightedServices(fields, services),
        Math.max(1, fields.nonNegativeIntOr("tries", 1)),
        fields.booleanOrFalse("resume"),
        fields.nonNegativeLongOr("gap_aim_ms", 0),
        fields.nonNegativeLongOr("run_due_ms", 0),
        (long) Math.ceil(itemTtlSeconds * MS_PER_SECOND),
        fields.nonNegativeLongOr("most_waiting", 0),
        fields.booleanOrFalse("unstamped"));
  }

  private static Route.Kind kind(ConfigFields fields) {
    String routeClass = fields.requiredString("route_class");
    return switch (routeClass) {
      case "safe" -> Route.Kind.SAFE;
      case "unsafe" -> Route.Kind.UNSAFE;
      case "stream" -> Route.Kind.STREAM;
      case "sack" -> Route.Kind.BATCH;
      default -> throw fields.invalid("route_class", "is none of safe, unsafe, stream, sack");
    };
  }

  private static List<Route.WeightedService> weightedServices(
      ConfigFields fields, Map<String, Service> services) {
    List<Route.WeightedService> weightedServices = new ArrayList<>(2);
    if (fields.has("postal_line")) {
      weightedServices.add(new Route.WeightedService(knownService(fields, services), 1));
    }
    if (!fields.has("share_out")) {
      if (weightedServices.isEmpty()) {
        throw fields.invalid("postal_line", "is missing, and share_out too");
      }
      return List.copyOf(weightedServices);
    }
    weightedServices.clear();
    double totalWeight = 0;
    for (ConfigFields entry : fields.requiredObjects("share_out")) {
      double weight = entry.numberOr("share", 0);
      if (weight < 0) {
        throw entry.invalid("share", "is below 0");
      }
      totalWeight += weight;
      weightedServices.add(new Route.WeightedService(knownService(entry, services), weight));
    }
    if (!(totalWeight > 0) || !Double.isFinite(totalWeight)) {
      throw fields.invalid("share_out", "the weights do not add up to more than 0");
    }
    return List.copyOf(weightedServices);
  }

  private static String knownService(ConfigFields fields, Map<String, Service> services) {
    String service = fields.requiredString("postal_line");
    if (!services.containsKey(service)) {
      throw fields.invalid("postal_line", "the service " + service + " is not known");
    }
    return service;
  }

  private static RoutingConfig.ClientLimits clientLimits(ConfigFields root) {
    if (!root.has("limits")) {
      return DEFAULT_LIMITS;
    }
    ConfigFields limits = root.requiredObject("limits");
    return new RoutingConfig.ClientLimits(
        positiveOr(limits.nonNegativeIntOr("envelope_bytes", 0), DEFAULT_LIMITS.maxHeaderBytes()),
        positiveOr(limits.nonNegativeIntOr("parcel_bytes", 0), DEFAULT_LIMITS.maxBodyBytes()),
        positiveOr(limits.nonNegativeLongOr("envelope_ms", 0), DEFAULT_LIMITS.headerTimeoutMs()),
        positiveOr(limits.nonNegativeLongOr("idle_ms", 0), DEFAULT_LIMITS.idleTimeoutMs()));
  }

  private static int positiveOr(int configured, int defaultValue) {
    return configured > 0 ? configured : defaultValue;
  }

  private static long positiveOr(long configured, long defaultValue) {
    return configured > 0 ? configured : defaultValue;
  }
}
