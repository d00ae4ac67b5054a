package elmsail.batch.client;

import elmsail.runtime.Counters;

/** The counters of a gateway's batch service. Confined to the gateway's event loop. */
public final class BatchCounters {
  /** Submissions that were accepted. */
  public final Counters.Counter submitAccepted;

  /** Submissions that were answered with anything but acceptance, for any reason. */
  public final Counters.Counter submitRejected;

  /**
   * Rejected submissions whose job exceeds the limit of its tenant on the route together with the
   * accepted jobs alone.
   */
  public final Counters.Counter submitOverQuota;

  /** Rejected submissions whose job exceeds the limit only because of concurrent reservations. */
  public final Counters.Counter submitContended;

  /** Registers the counters with the counters of the process. */
  public BatchCounters(Counters counters) {
    submitAccepted = counters.counter("batch_submit_accepted");
    submitRejected = counters.counter("batch_submit_refused");
    submitOverQuota = counters.counter("batch_submit_full");
    submitContended = counters.counter("batch_submit_full_by_pending");
  }
}
