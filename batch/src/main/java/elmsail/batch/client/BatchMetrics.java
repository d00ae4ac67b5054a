package elmsail.batch.client;

import elmsail.runtime.Invariants;
import elmsail.runtime.ProcessMetrics;

/** The counters of the batch service of one gateway, and the invariants that it checks. */
public record BatchMetrics(BatchCounters counters, Invariants invariants) {

  /** Registers the counters with those of the process. */
  public static BatchMetrics of(ProcessMetrics metrics) {
    return new BatchMetrics(new BatchCounters(metrics.counters()), metrics.invariants());
  }
}
