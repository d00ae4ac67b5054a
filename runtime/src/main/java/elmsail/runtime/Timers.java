package elmsail.runtime;

/** The clock and timers of an event loop; tests advance them by hand ({@code ManualTimers}). */
public interface Timers extends MonotonicClock {

  /** Runs the task once on the loop after the delay; a negative delay counts as 0. */
  Timer schedule(long delayMs, Runnable task);

  /** Runs the task on the loop after the current one; may be called from any thread. */
  void execute(Runnable task);

  /** A scheduled task. */
  interface Timer {
    /** Cancels the task; without effect once it has run or was cancelled. */
    void cancel();
  }
}
