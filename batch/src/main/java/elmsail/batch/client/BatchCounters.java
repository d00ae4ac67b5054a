package elmsail.batch.client;

import elmsail.runtime.Counters;

/** What a gateway counts of batch jobs; on the loop. */
public final class BatchCounters {

  /** Jobs that were accepted here. */
  public final Counters.Counter submitAccepted;

  /** Jobs that were refused here, for whatever reason. */
  public final Counters.Counter submitRefused;

  /** Takes its counters from those of the process. */
  public BatchCounters(Counters counters) {
    submitAccepted = counters.of("batch_submit_accepted");
    submitRefused = counters.of("batch_submit_refused");
  }
}
