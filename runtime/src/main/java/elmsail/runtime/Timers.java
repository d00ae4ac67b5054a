package elmsail.runtime;

/** The loop's clock and timers; tests move them by hand ({@code ManualTimers}). */
public interface Timers extends MonotonicClock {

  /** Runs once, in so many ms, on the loop; a negative time counts as 0. */
  Timer schedule(long delayMs, Runnable task);

  /** Runs behind what the loop is doing now; may be called from other threads. */
  void execute(Runnable task);

  /** A timer that was set. */
  interface Timer {
    /** Keeps it from running; without effect once it has run or was cancelled. */
    void cancel();
  }
}
