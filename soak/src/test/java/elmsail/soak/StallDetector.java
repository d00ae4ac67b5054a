package elmsail.soak;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Detects times in which the computer did not run this process's threads; they count as faults, and
 * the time limits of the checks are longer by them ({@link TimeLimit}).
 */
final class StallDetector implements AutoCloseable {
  private static final long TICK_MS = 20;
  private static final long STALL_MS = 200;

  private final SoakClock clock;
  private final FaultHistory faults;
  private final Thread thread = new Thread(this::watch, "stall-watch");
  private volatile boolean closed;
  private final AtomicLong stalls = new AtomicLong();
  private volatile long longestMs;
  private final AtomicLong totalMs = new AtomicLong();
  private final List<String> described = new CopyOnWriteArrayList<>();

  StallDetector(SoakClock clock, FaultHistory faults) {
    this.clock = clock;
    this.faults = faults;
    thread.setDaemon(true);
    thread.start();
  }

  private void watch() {
    long last = clock.nowMs();
    while (!closed) {
      SoakClock.pause(TICK_MS);
      long now = clock.nowMs();
      if (now - last > STALL_MS) {
        faults.onStall(last, now);
        stalls.incrementAndGet();
        longestMs = Math.max(longestMs, now - last);
        totalMs.addAndGet(now - last);
        described.add(last + "-" + now + " ms");
      }
      last = now;
    }
  }

  long stalls() {
    return stalls.get();
  }

  long longestMs() {
    return longestMs;
  }

  /** The lengths of all stalls so far, summed up. */
  long totalMs() {
    return totalMs.get();
  }

  /** When each stall began and ended, on the soak's clock. */
  List<String> described() {
    return described;
  }

  @Override
  public void close() {
    closed = true;
  }
}
