package elmsail.gateway.requests;

import elmsail.runtime.Timers;

/**
 * Runs a check at an interval until cancelled. A check that runs more than {@link #MAX_DELAY_MS}
 * late is skipped: the process was probably stalled, so bytes that arrived during the stall may not
 * have been read, and a server could wrongly look unresponsive. Owned by the event loop.
 */
final class PeriodicCheck {
  /** A check that is later than this is skipped. */
  private static final long MAX_DELAY_MS = 150;

  private final Timers timers;
  private final long intervalMs;
  private final Runnable check;
  private Timers.Timer timer;
  private boolean cancelled;

  /**
   * Creates a check that does not run before {@link #start}.
   *
   * @param check may call {@link #cancel}
   */
  PeriodicCheck(Timers timers, long intervalMs, Runnable check) {
    this.timers = timers;
    this.intervalMs = intervalMs;
    this.check = check;
  }

  /** Starts the checks; the first one runs after one interval. */
  void start() {
    long dueAt = timers.now() + intervalMs;
    timer = timers.schedule(intervalMs, () -> run(dueAt));
  }

  private void run(long dueAt) {
    if (timers.now() - dueAt <= MAX_DELAY_MS) {
      check.run();
    }
    if (!cancelled) {
      start();
    }
  }

  /** Ends the checks; may be called before the start, and more than once. */
  void cancel() {
    cancelled = true;
    if (timer != null) {
      timer.cancel();
    }
  }
}
