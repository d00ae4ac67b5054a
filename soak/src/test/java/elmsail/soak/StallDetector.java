package elmsail.soak;

import java.util.concurrent.atomic.AtomicLong;

/** Looks for times in which this computer held its threads up, and notes them as troubles. */
final class StallDetector implements AutoCloseable {
  private static final long TICK_MS = 20;
  private static final long STALL_MS = 200;

  private final SoakClock clock;
  private final FaultHistory faults;
  private final Thread thread = new Thread(this::watch, "stall-watch");
  private volatile boolean closed;
  private final AtomicLong stalls = new AtomicLong();
  private volatile long longest;

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
        faults.stalled(last, now);
        stalls.incrementAndGet();
        longest = Math.max(longest, now - last);
      }
      last = now;
    }
  }

  long stalls() {
    return stalls.get();
  }

  long longestMs() {
    return longest;
  }

  @Override
  public void close() {
    closed = true;
  }
}
