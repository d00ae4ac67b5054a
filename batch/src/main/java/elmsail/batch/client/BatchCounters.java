package elmsail.batch.client;

import elmsail.runtime.Counters;

/** The counters of a gateway's batch service; confined to its event loop. */
public final class BatchCounters {
  /** Submissions that were accepted. */
  public final Counters.Counter submitAccepted;

  /** Submissions that were rejected, for whatever reason. */
  public final Counters.Counter submitRejected;

  /**
   * Of the rejected: with the accepted jobs alone it exceeds the limit of its tenant on the route.
   */
  public final Counters.Counter submitOverQuota;

  /** Of the rejected: it fits, except for jobs that were being accepted at the same time. */
  public final Counters.Counter submitContended;

  /** Registers the counters with those of the process. */
  public BatchCounters(Counters counters) {
    submitAccepted = counters.counter("batch_submit_accepted");
    submitRejected = counters.counter("batch_submit_refused");
    submitOverQuota = counters.counter("batch_submit_full");
    submitContended = counters.counter("batch_submit_full_by_pending");
  }
}
