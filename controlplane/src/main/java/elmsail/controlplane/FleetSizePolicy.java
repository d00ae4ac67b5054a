package elmsail.controlplane;

import elmsail.config.FleetSize;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalInt;

/**
 * Computes the target number of servers of a service in one zone. The target rises as soon as the
 * demand requires more servers, because new servers take time to boot. The target falls only if no
 * observation within a whole {@linkplain #STABILIZATION_WINDOW_MS window} required as many servers,
 * so that a short lull or a lost report removes no server. Does no I/O; times are in ms of the
 * monotonic clock. Runs on the event loop.
 */
final class FleetSizePolicy {
  /** Target share of the slots that are in use; the rest is headroom for bursts. */
  static final double TARGET_UTILIZATION = 0.5;

  /** Maximum time for which a booted server may be missing from the list. */
  private static final long LIST_DELAY_MS = 3_000;

  /**
   * At least one, because a zone without servers shows no demand and would never get a server
   * again.
   */
  private static final int MIN_SERVERS = 1;

  /** The target is the largest size that was recommended within this time. */
  static final long STABILIZATION_WINDOW_MS = 30_000;

  /**
   * The observed state of a service in one zone.
   *
   * @param servers that take requests; may exceed the fleet size while servers are replaced one by
   *     one
   * @param slotsPerServer requests that one server processes concurrently, at least 1
   * @param openRequests running and waiting requests and batch items of all gateways
   * @param isComplete whether enough gateways have reported recently for a reliable demand
   */
  record Observation(int servers, int slotsPerServer, double openRequests, boolean isComplete) {}

  private record Recommendation(long atMs, int servers) {}

  /** The last target; empty before the first observation. */
  private OptionalInt targetServers = OptionalInt.empty();

  private long firstObservationAtMs;

  /**
   * Oldest first; each recommends more servers than all later ones, so the first is the maximum.
   */
  private final Deque<Recommendation> recommendations = new ArrayDeque<>();

  /**
   * Records an observation and computes the target.
   *
   * @return the target number of servers, within the bounds
   */
  int observe(Observation observation, FleetSize bounds, long now) {
    if (targetServers.isEmpty()) {
      targetServers = OptionalInt.of(observation.servers());
      firstObservationAtMs = now;
    }
    boolean mayShrink =
        observation.isComplete() && now - firstObservationAtMs >= STABILIZATION_WINDOW_MS;
    int needed = (int) Math.ceil(observation.openRequests() / usableSlots(observation));
    int recommended = mayShrink ? needed : Math.max(needed, sizeToKeep(observation, bounds, now));
    targetServers = OptionalInt.of(clamp(windowMaximum(recommended, now), bounds));
    return targetServers.getAsInt();
  }

  /**
   * The size to keep if the demand does not require more. After a change of holder, servers that
   * the previous holder ordered may still be booting; they are missing from the list just like
   * crashed servers.
   */
  private int sizeToKeep(Observation observation, FleetSize bounds, long now) {
    boolean mayBeBooting = now - firstObservationAtMs <= bounds.bootMs() + LIST_DELAY_MS;
    return mayBeBooting
        ? Math.max(targetServers.getAsInt(), observation.servers())
        : targetServers.getAsInt();
  }

  private static double usableSlots(Observation observation) {
    return Math.max(1, observation.slotsPerServer()) * TARGET_UTILIZATION;
  }

  private int windowMaximum(int recommended, long now) {
    while (!recommendations.isEmpty() && recommendations.peekLast().servers() <= recommended) {
      recommendations.removeLast();
    }
    recommendations.addLast(new Recommendation(now, recommended));
    while (now - recommendations.peekFirst().atMs() > STABILIZATION_WINDOW_MS) {
      recommendations.removeFirst();
    }
    return recommendations.peekFirst().servers();
  }

  private static int clamp(int servers, FleetSize bounds) {
    int minServers = Math.max(MIN_SERVERS, bounds.minServers());
    return Math.max(minServers, Math.min(bounds.maxServers(), servers));
  }
}
