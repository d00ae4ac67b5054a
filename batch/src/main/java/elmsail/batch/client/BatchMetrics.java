package elmsail.batch.client;

import elmsail.runtime.Invariants;
import elmsail.runtime.ProcessMetrics;

/** The counters of one gateway's batch service, and the invariants that the service checks. */
public record BatchMetrics(BatchCounters counters, Invariants invariants) {

  /** Registers the counters with the counters of the process. */
  public static BatchMetrics of(ProcessMetrics metrics) {
    return new BatchMetrics(new BatchCounters(metrics.counters()), metrics.invariants());
  }
}
