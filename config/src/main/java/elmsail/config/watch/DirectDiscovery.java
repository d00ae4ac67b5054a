package elmsail.config.watch;

import elmsail.config.PlatformClient;
import elmsail.config.ServerEntry;
import elmsail.runtime.Timers;
import java.util.List;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * A gateway's own asking of the platform while the control-plane nodes' list is too old: sparingly,
 * as all may do so.
 */
final class DirectDiscovery {
  private static final long LOOK_MS = 250;
  private static final long OLD_MS = 2_500;
  private static final long START_MS = 3_000;
  private static final long SPREAD_MS = 1_000;

  /** Takes what was fetched, and when it was taken (steady ms). */
  interface Taker {
    void take(List<ServerEntry> servers, long takenAt);
  }

  private final Timers timers;
  private final PlatformClient platform;
  private final double perSecond;
  private final RandomGenerator chance;
  private final LongSupplier ageMs;
  private final IntSupplier doors;
  private final Taker taker;
  private Timers.Timer next;
  private long startedAt;
  private long notBefore;
  private boolean closed;

  DirectDiscovery(
      Timers timers,
      PlatformClient platform,
      double perSecond,
      RandomGenerator chance,
      LongSupplier ageMs,
      IntSupplier doors,
      Taker taker) {
    this.timers = timers;
    this.platform = platform;
    this.perSecond = perSecond;
    this.chance = chance;
    this.ageMs = ageMs;
    this.doors = doors;
    this.taker = taker;
  }

  void start() {
    startedAt = timers.now();
    notBefore = startedAt;
    next = timers.schedule(LOOK_MS, this::look);
  }

  void close() {
    closed = true;
    if (next != null) {
      next.cancel();
    }
  }

  private boolean needed() {
    long age = ageMs.getAsLong();
    return age == Long.MAX_VALUE ? timers.now() - startedAt >= START_MS : age > OLD_MS;
  }

  private void look() {
    if (!needed()) {
      next = timers.schedule(LOOK_MS, this::look);
      return;
    }
    long pause = Math.max(chance.nextLong(SPREAD_MS + 1), notBefore - timers.now());
    next = timers.schedule(pause, this::request);
  }

  private void request() {
    if (!needed()) {
      look();
      return;
    }
    notBefore = timers.now() + apartMs();
    platform
        .fetch()
        .whenComplete(
            (servers, thrown) -> {
              if (closed) {
                return;
              }
              if (thrown == null) {
                taker.take(servers, platform.takenAt());
              }
              next = timers.schedule(LOOK_MS, this::look);
            });
  }

  /** All gateways together keep to a third of the platform's rate, each page being a call. */
  private long apartMs() {
    double calls = 3.0 * Math.max(1, doors.getAsInt()) * platform.lastPages();
    return perSecond > 0 ? Math.max(1_000, (long) Math.ceil(calls * 1_000 / perSecond)) : 60_000;
  }
}
