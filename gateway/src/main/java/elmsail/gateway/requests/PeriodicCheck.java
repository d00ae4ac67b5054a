package elmsail.gateway.requests;

import elmsail.runtime.Timers;

/**
 * Runs a check at an interval until it is cancelled. A check that would run late is left out: the
 * process stood still, and what its connections hold is not read yet. Owned by the event loop.
 */
final class PeriodicCheck {
  /** A check that runs later than this says more of this process than of the server. */
  private static final long MAX_DELAY_MS = 150;

  private final Timers timers;
  private final long intervalMs;
  private final Runnable check;
  private Timers.Timer timer;
  private boolean cancelled;

  /**
   * Checks nothing before {@link #start}.
   *
   * @param check may cancel this
   */
  PeriodicCheck(Timers timers, long intervalMs, Runnable check) {
    this.timers = timers;
    this.intervalMs = intervalMs;
    this.check = check;
  }

  /** Begins; the first check runs after one interval. */
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
