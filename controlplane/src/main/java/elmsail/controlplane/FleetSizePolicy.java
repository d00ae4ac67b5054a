package elmsail.controlplane;

import elmsail.config.FleetSize;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalInt;

/**
 * Decides how many servers a service is to have in one zone. More are ordered as soon as the demand
 * asks for them, since new servers take their time to boot; fewer only after no moment of a whole
 * {@linkplain #STABILIZATION_WINDOW_MS window} would have needed as many, so that a short lull, or
 * a lost reading, takes no server away. Does no I/O; times are in ms of the steady clock. Runs on
 * the event loop.
 */
final class FleetSizePolicy {
  /** Share of all slots that the demand is to take: the rest is for what comes in clumps. */
  static final double TARGET_UTILIZATION = 0.5;

  /** How long after a server has booted it may be missing from the list. */
  private static final long LIST_DELAY_MS = 3_000;

  /** A zone without servers shows no demand, and would never get any again. */
  private static final int MIN_SERVERS = 1;

  /** The largest size recommended within this time before now is the one that is wanted. */
  static final long STABILIZATION_WINDOW_MS = 30_000;

  /**
   * What is known of a service in one zone at a moment.
   *
   * @param servers that take requests; while servers are replaced one by one, some more
   * @param slotsPerServer requests that one server runs at once, at least 1
   * @param openRequests requests and items of all gateways that run or wait there
   * @param isComplete whether enough gateways have reported lately for the demand to be believed
   */
  record Observation(int servers, int slotsPerServer, double openRequests, boolean isComplete) {}

  private record Recommendation(long atMs, int servers) {}

  /** The last size that was wanted; empty before the first reading. */
  private OptionalInt targetServers = OptionalInt.empty();

  private long firstReadingAtMs;

  /** Oldest first; each is larger than all that follow it, so the first is the largest. */
  private final Deque<Recommendation> recommendations = new ArrayDeque<>();

  /**
   * Takes a reading.
   *
   * @return how many servers are wanted, within the bounds
   */
  int observe(Observation observation, FleetSize bounds, long now) {
    if (targetServers.isEmpty()) {
      targetServers = OptionalInt.of(observation.servers());
      firstReadingAtMs = now;
    }
    boolean mayShrink =
        observation.isComplete() && now - firstReadingAtMs >= STABILIZATION_WINDOW_MS;
    int needed = (int) Math.ceil(observation.openRequests() / usableSlots(observation));
    int recommended = mayShrink ? needed : Math.max(needed, sizeToKeep(observation, bounds, now));
    targetServers = OptionalInt.of(clamp(windowMaximum(recommended, now), bounds));
    return targetServers.getAsInt();
  }

  /**
   * The size to keep without need for more. At first, servers that an earlier holder ordered may
   * still boot and are no more listed than those that have crashed.
   */
  private int sizeToKeep(Observation observation, FleetSize bounds, long now) {
    boolean mayBeBooting = now - firstReadingAtMs <= bounds.bootMs() + LIST_DELAY_MS;
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
