package elmsail.runtime;

/**
 * Measures how late the event loop runs its timers: a timer is scheduled every 500 ms, and its
 * delay is observed in the histogram {@code loop_delay_ms}. It shows a process that is starved of
 * processor time, frozen, or blocked by a long task.
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

  /** Starts measuring; called once for each process, on the event loop. */
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
