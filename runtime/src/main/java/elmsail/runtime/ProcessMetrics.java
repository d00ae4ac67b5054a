package elmsail.runtime;

/**
 * The metrics of a process and the invariants that it checks. A process creates one instance and
 * passes it to all its components.
 */
public record ProcessMetrics(Counters counters, Invariants invariants) {

  /** For a running process: metrics that changed are logged every 10 s. */
  public static ProcessMetrics logged(Timers timers) {
    Counters counters = new Counters(timers);
    return new ProcessMetrics(counters, Invariants.counting(counters));
  }

  /** For components outside the process's own work, as in a warm-up: nothing is logged. */
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
