package elmsail.runtime;

/**
 * What a process tells of itself: its named figures, and the invariants that it checks. A process
 * makes one and hands it to all its parts.
 */
public record ProcessMetrics(Counters counters, Invariants invariants) {

  /** For a running process: figures that changed are logged each 10 s on these timers. */
  public static ProcessMetrics logged(Timers timers) {
    Counters counters = new Counters(timers);
    return new ProcessMetrics(counters, Invariants.counting(counters));
  }

  /** For parts that are run apart from the process's own, as in a warm-up: nothing is logged. */
  public static ProcessMetrics unlogged() {
    Counters counters = new Counters();
    return new ProcessMetrics(counters, Invariants.counting(counters));
  }

  /** For tests: nothing is logged, and a violated invariant throws. */
  public static ProcessMetrics strict() {
    Counters counters = new Counters();
    return new ProcessMetrics(counters, Invariants.strict(counters));
  }
}
