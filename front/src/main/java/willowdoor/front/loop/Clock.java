package willowdoor.front.loop;

import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * Unix time in milliseconds that never goes back: the system's time once, and the monotonic clock
 * since. The names of the shared counts' windows come from it, so a step of the system's time must
 * not reach them.
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
