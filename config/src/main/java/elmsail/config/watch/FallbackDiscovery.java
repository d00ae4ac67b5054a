package elmsail.config.watch;

import elmsail.config.PlatformClient;
import elmsail.config.ServerEntry;
import elmsail.runtime.Timers;
import java.util.List;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Fetches the server list directly from the platform while the list that the control-plane nodes
 * publish is too old. All gateways may do this at the same time, so a random delay spreads their
 * fetches, and together they use at most a third of the platform's rate limit. Owned by the event
 * loop.
 */
final class FallbackDiscovery {
  private static final long CHECK_INTERVAL_MS = 250;
  private static final long MAX_LIST_AGE_MS = 2_500;
  private static final long STARTUP_GRACE_MS = 3_000;
  private static final long MAX_JITTER_MS = 1_000;

  /** Receives the fetched lists. */
  interface Listener {
    /** {@code fetchedAtMs} is when the fetch started, in ms of the steady clock. */
    void onServers(List<ServerEntry> servers, long fetchedAtMs);
  }

  private final Timers timers;
  private final PlatformClient platform;
  private final double maxCallsPerSecond;
  private final RandomGenerator random;
  private final LongSupplier listAgeMs;
  private final IntSupplier gatewayCount;
  private final Listener listener;
  private Timers.Timer nextStep;
  private long startedAtMs;
  private long earliestFetchAtMs;
  private boolean closed;

  /**
   * Creates a discovery that fetches nothing before {@link #start}.
   *
   * @param maxCallsPerSecond the platform's rate limit for all gateways; 0: not known
   * @param listAgeMs age of the list in use; Long.MAX_VALUE while there is none
   * @param gatewayCount number of gateways known
   */
  FallbackDiscovery(
      Timers timers,
      PlatformClient platform,
      double maxCallsPerSecond,
      RandomGenerator random,
      LongSupplier listAgeMs,
      IntSupplier gatewayCount,
      Listener listener) {
    this.timers = timers;
    this.platform = platform;
    this.maxCallsPerSecond = maxCallsPerSecond;
    this.random = random;
    this.listAgeMs = listAgeMs;
    this.gatewayCount = gatewayCount;
    this.listener = listener;
  }

  /** Starts to check the list's age. To be called once. */
  void start() {
    startedAtMs = timers.now();
    earliestFetchAtMs = startedAtMs;
    nextStep = timers.schedule(CHECK_INTERVAL_MS, this::check);
  }

  /** Stops the checks; the result of a fetch in flight is ignored. */
  void close() {
    closed = true;
    if (nextStep != null) {
      nextStep.cancel();
    }
  }

  private boolean isNeeded() {
    long ageMs = listAgeMs.getAsLong();
    return ageMs == Long.MAX_VALUE
        ? timers.now() - startedAtMs >= STARTUP_GRACE_MS
        : ageMs > MAX_LIST_AGE_MS;
  }

  private void check() {
    if (!isNeeded()) {
      nextStep = timers.schedule(CHECK_INTERVAL_MS, this::check);
      return;
    }
    long delayMs = Math.max(random.nextLong(MAX_JITTER_MS + 1), earliestFetchAtMs - timers.now());
    nextStep = timers.schedule(delayMs, this::fetch);
  }

  private void fetch() {
    if (!isNeeded()) {
      check();
      return;
    }
    earliestFetchAtMs = timers.now() + fetchIntervalMs();
    platform
        .fetch()
        .whenComplete(
            (servers, failure) -> {
              if (closed) {
                return;
              }
              if (failure == null) {
                listener.onServers(servers, platform.fetchedAtMs());
              }
              nextStep = timers.schedule(CHECK_INTERVAL_MS, this::check);
            });
  }

  /** Each page takes one call; all gateways together may make a third of the allowed calls. */
  private long fetchIntervalMs() {
    double calls = 3.0 * Math.max(1, gatewayCount.getAsInt()) * platform.lastPageCount();
    return maxCallsPerSecond > 0
        ? Math.max(1_000, (long) Math.ceil(calls * 1_000 / maxCallsPerSecond))
        : 60_000;
  }
}
