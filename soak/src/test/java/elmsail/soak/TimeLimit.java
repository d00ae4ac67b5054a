package elmsail.soak;

import java.util.function.LongSupplier;

/**
 * A time limit from now on. It does not count the times in which the computer stood still: no
 * process of the soak ran then, so they say nothing of how long one takes.
 */
final class TimeLimit {
  private final SoakClock clock;
  private final LongSupplier stalledMs;
  private final long endsAtMs;
  private final long stalledBeforeMs;

  /**
   * @param stalledMs how long the computer stood still in all, so far
   */
  TimeLimit(SoakClock clock, LongSupplier stalledMs, long limitMs) {
    this.clock = clock;
    this.stalledMs = stalledMs;
    endsAtMs = clock.nowMs() + limitMs;
    stalledBeforeMs = stalledMs.getAsLong();
  }

  boolean isOver() {
    return clock.nowMs() >= endsAtMs + stalledMs.getAsLong() - stalledBeforeMs;
  }
}
