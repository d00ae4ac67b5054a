package elmsail.runtime;

/**
 * How late the loop runs its timers: a timer of 500 ms is set again and again, and what it is late
 * by goes into a histogram. A process that is starved of processor time, frozen, or held up by one
 * long task shows in it.
 */
public final class LoopDelay {
  static final long SAMPLE_INTERVAL_MS = 500;

  private final Timers timers;
  private final Histogram delay;
  private long dueAt;

  private LoopDelay(Timers timers, Histogram delay) {
    this.timers = timers;
    this.delay = delay;
  }

  /** Starts to measure; called on the loop, once for each process. */
  public static void start(Timers timers, Counters counters) {
    new LoopDelay(timers, counters.histogram("loop_delay_ms")).scheduleNext();
  }

  private void scheduleNext() {
    dueAt = timers.now() + SAMPLE_INTERVAL_MS;
    timers.schedule(SAMPLE_INTERVAL_MS, this::measure);
  }

  private void measure() {
    delay.observe(timers.now() - dueAt);
    scheduleNext();
  }
}
