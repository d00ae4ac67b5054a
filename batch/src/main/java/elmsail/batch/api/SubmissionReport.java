package elmsail.batch.api;

import elmsail.batch.BatchService.Reply;
import elmsail.batch.client.BatchCounters;
import elmsail.batch.client.BatchMetrics;
import elmsail.batch.messages.WaitingTokens;
import elmsail.runtime.Invariant;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * How a submission ended, for the log, the counters and the invariants.
 *
 * @param check by the limit at the end
 * @param counted the tokens of the last rounds
 * @param verdict of the last round, or null if none was judged since the last wait
 * @param elapsedMs from the arrival of the call to the reply
 */
record SubmissionReport(
    Reply reply,
    AdmissionCheck check,
    WaitingTokens counted,
    AdmissionVerdict verdict,
    int rounds,
    long elapsedMs) {
  private static final Logger LOG = LoggerFactory.getLogger(SubmissionReport.class);

  /**
   * @param bodyBytes the size of the encoded body
   */
  void log(int bodyBytes) {
    if (LOG.isDebugEnabled()) {
      LOG.debug(
          "job submission answered: job={} status={} tokens={} waiting={} pending={} limit={}"
              + " verdict={} rounds={} ms={} bytes={}",
          check.jobId(),
          reply.status(),
          check.tokens(),
          counted.totalExcept(check.jobId()),
          counted.pendingExcept(check.jobId()),
          check.limit(),
          verdict,
          rounds,
          elapsedMs,
          bodyBytes);
    }
  }

  /**
   * Counts the submission and checks that a job which fits is not rejected before it has waited.
   *
   * @param maxContentionWaitMs how long a contended job waits
   */
  void count(BatchMetrics metrics, long maxContentionWaitMs) {
    BatchCounters counters = metrics.counters();
    if (reply.status() == BatchReplies.ACCEPTED.status()) {
      counters.submitAccepted.add(1);
    } else {
      counters.submitRejected.add(1);
    }
    if (verdict != null && verdict.exceedsLimit()) {
      metrics
          .invariants()
          .check(
              Invariant.FITTING_JOB_IS_NOT_REFUSED_AT_ONCE,
              elapsedMs >= maxContentionWaitMs || !check.fitsInOrder(counted),
              this::describeAdmission);
      boolean overQuota = check.exceedsLimitByAccepted(counted);
      (overQuota ? counters.submitOverQuota : counters.submitContended).add(1);
    }
  }

  private String describeAdmission() {
    long ahead = counted.totalAheadOf(check.jobId());
    return check.jobId() + ": " + check.tokens() + " behind " + ahead + " of " + check.limit();
  }
}
