package elmsail.batch.client;

import elmsail.runtime.Counters;

/** What a gateway counts of batch jobs; on the loop. */
public final class BatchCounters {

  /** Jobs that were accepted here. */
  public final Counters.Counter submitAccepted;

  /** Jobs that were refused here, for whatever reason. */
  public final Counters.Counter submitRejected;

  /** Of the refused: the accepted jobs and the one itself pass the route's limit. */
  public final Counters.Counter submitOverQuota;

  /** Of the refused: they fit, but for jobs that were being accepted at the same time. */
  public final Counters.Counter submitContended;

  /** Takes its counters from those of the process. */
  public BatchCounters(Counters counters) {
    submitAccepted = counters.counter("batch_submit_accepted");
    submitRejected = counters.counter("batch_submit_refused");
    submitOverQuota = counters.counter("batch_submit_full");
    submitContended = counters.counter("batch_submit_full_by_pending");
  }
}
