package elmsail.controlplane;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import elmsail.config.ClusterState;
import elmsail.config.FleetSize;
import elmsail.config.RoutingConfig;
import elmsail.config.ServerEntry;
import elmsail.config.Service;
import elmsail.rpc.messages.PullRequest;
import elmsail.runtime.Settings;
import elmsail.runtime.Timers;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalInt;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The singleton duty to set the number of servers. While this node holds the singleton lease, it
 * orders the number of servers that {@link FleetSizePolicy} computes, for each service with a
 * configured fleet size and each zone in which that service runs. An order that is already in
 * effect is not repeated. An order that failed or whose outcome is unknown is sent again after a
 * backoff, with the target at that time. Every node records the demand, so that a new holder can
 * decide immediately. Runs on the event loop.
 */
final class FleetSizeManager {
  /** The path of the platform's endpoint. */
  static final String PATH = "/fleet-size";

  private static final long TICK_INTERVAL_MS = 500;
  private static final long RETRY_DELAY_MS = 1_000;
  private static final JsonFactory JSON = new JsonFactory();
  private static final Logger LOG = LoggerFactory.getLogger(FleetSizeManager.class);

  /** Identifies a fleet: the servers of one service in one zone. */
  private record FleetKey(String service, String zone) {}

  /** The observed state of a fleet. */
  private record Fleet(FleetSize bounds, int servers, int slotsPerServer) {}

  /** The orders of this holder for one fleet. */
  private static final class Order {
    final FleetSizePolicy policy = new FleetSizePolicy();

    /**
     * The size that the platform last accepted; empty if this holder has no accepted order yet, in
     * which case the listed servers are taken as the size.
     */
    OptionalInt acceptedSize = OptionalInt.empty();

    /** Whether the platform may have accepted an order whose outcome is unknown. */
    boolean isUncertain;

    boolean inFlight;
    long nextAttemptAtMs;
  }

  private final Timers timers;
  private final ClusterState clusterState;
  private final PlatformDutyClient platform;
  private final DutyLease lease;
  private final DemandTable demand = new DemandTable();
  private final Map<FleetKey, Order> orders = new HashMap<>();
  private long ordersTerm;
  private boolean closed;

  /**
   * Creates a manager that sends nothing before {@link #start()}.
   *
   * @param clusterState the configuration, the servers and the gateways as this node knows them
   */
  FleetSizeManager(
      Timers timers, ClusterState clusterState, PlatformDutyClient platform, DutyLease lease) {
    this.timers = timers;
    this.clusterState = clusterState;
    this.platform = platform;
    this.lease = lease;
  }

  /** Whether the settings assign this duty to the control plane. */
  static boolean isEnabled(Settings settings) {
    return settings.platform() != null
        && settings.platform().duties().contains(Settings.Platform.FLEET_DUTY);
  }

  void start() {
    timers.schedule(TICK_INTERVAL_MS, this::tick);
  }

  void close() {
    closed = true;
  }

  /** Records the demand in a gateway's pull. */
  void onPull(PullRequest request) {
    demand.onPull(request, timers.now());
  }

  private void tick() {
    if (closed) {
      return;
    }
    timers.schedule(TICK_INTERVAL_MS, this::tick);
    long now = timers.now();
    demand.expire(now);
    long term = lease.term();
    if (term != ordersTerm) {
      orders.clear(); // the orders of other holders in between are unknown
      ordersTerm = term;
    }
    if (term > 0) {
      fleets().forEach((key, fleet) -> update(key, fleet, term, now));
    }
  }

  /**
   * The fleets to size: services with fleet-size bounds, in each zone with listed servers of the
   * service.
   */
  private Map<FleetKey, Fleet> fleets() {
    Map<FleetKey, Fleet> fleets = new LinkedHashMap<>();
    RoutingConfig config = clusterState.config();
    if (config == null) {
      return fleets;
    }
    for (ServerEntry server : clusterState.servers()) {
      Service service = config.services().get(server.service());
      if (service != null && service.fleetSize().isPresent()) {
        Fleet counted =
            new Fleet(
                service.fleetSize().get(), server.draining() ? 0 : 1, server.maxConcurrency());
        fleets.merge(
            new FleetKey(server.service(), server.zone()), counted, FleetSizeManager::merge);
      }
    }
    return fleets;
  }

  private static Fleet merge(Fleet left, Fleet right) {
    return new Fleet(
        left.bounds(),
        left.servers() + right.servers(),
        Math.max(left.slotsPerServer(), right.slotsPerServer()));
  }

  private void update(FleetKey key, Fleet fleet, long term, long now) {
    int gateways = clusterState.view().gateways.size();
    FleetSizePolicy.Observation observation =
        new FleetSizePolicy.Observation(
            fleet.servers(),
            fleet.slotsPerServer(),
            demand.openRequests(key.service(), key.zone(), gateways),
            demand.isComplete(gateways));
    Order order = orders.computeIfAbsent(key, newKey -> new Order());
    int targetServers = order.policy.observe(observation, fleet.bounds(), now);
    boolean isSatisfied =
        !order.isUncertain && order.acceptedSize.orElse(fleet.servers()) == targetServers;
    if (!isSatisfied && !order.inFlight && now >= order.nextAttemptAtMs) {
      send(key, order, targetServers, term);
    }
  }

  private void send(FleetKey key, Order order, int targetServers, long term) {
    order.inFlight = true;
    platform
        .post(PATH, encode(key, targetServers), term)
        .thenAccept(outcome -> onOutcome(key, order, targetServers, outcome));
  }

  private void onOutcome(
      FleetKey key, Order order, int targetServers, PlatformDutyClient.Outcome outcome) {
    order.inFlight = false;
    if (outcome == PlatformDutyClient.Outcome.ACCEPTED) {
      order.acceptedSize = OptionalInt.of(targetServers);
      order.isUncertain = false;
      LOG.info(
          "platform accepted an order of {} servers for service {} in zone {}, term {}",
          targetServers,
          key.service(),
          key.zone(),
          ordersTerm);
    } else {
      order.isUncertain |= outcome == PlatformDutyClient.Outcome.UNKNOWN;
      order.nextAttemptAtMs = timers.now() + RETRY_DELAY_MS;
    }
  }

  private static byte[] encode(FleetKey key, int targetServers) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator json = JSON.createGenerator(bytes)) {
      json.writeStartObject();
      json.writeStringField("postal_line", key.service());
      json.writeStringField("zone", key.zone());
      json.writeNumberField("wanted", targetServers);
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e); // a byte array stream never fails
    }
    return bytes.toByteArray();
  }
}
