package willowdoor.front.loop;

import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * Unix time in milliseconds that never goes back: reads the system time once and adds the elapsed
 * time of the monotonic clock. The names of the shared counters' windows derive from this clock, so
 * a step of the system time must not affect them.
 */
public final class Clock {

  private final LongSupplier nanos;
  private final double startMs;
  private final long startNanos;

  public Clock() {
    this(Instant.now(), System::nanoTime);
  }

  public Clock(Instant start, LongSupplier nanos) {
    this.nanos = nanos;
    startNanos = nanos.getAsLong();
    startMs = start.getEpochSecond() * 1e3 + start.getNano() / 1e6;
  }

  public double now() {
    return startMs + (nanos.getAsLong() - startNanos) / 1e6;
  }
}
