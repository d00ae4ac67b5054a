package elmsail.batch.api;

import elmsail.batch.BatchService.Reply;
import elmsail.batch.client.BatchCounters;
import elmsail.batch.client.BatchMetrics;
import elmsail.batch.messages.WaitingTokens;
import elmsail.runtime.Invariant;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * The outcome of a submission, for the log, the counters and the invariants.
 *
 * @param check the admission check with the limit in force at the time of the reply
 * @param counted the waiting tokens counted in the rounds since the last wait
 * @param verdict the verdict of the last round, or null if no round since the last wait reached one
 * @param elapsedMs the time from the arrival of the call to the reply, in ms
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
   * Logs the outcome: at info level if the job was refused although its record had been proposed,
   * at debug level otherwise.
   *
   * @param proposed whether a round proposed the record
   * @param bodyBytes the size of the encoded body
   */
  void log(boolean proposed, int bodyBytes) {
    Level level =
        proposed && reply.status() != BatchReplies.ACCEPTED.status() ? Level.INFO : Level.DEBUG;
    if (LOG.isEnabledForLevel(level)) {
      LOG.atLevel(level)
          .log(
              "job submission answered: job={} status={} tokens={} waiting={} pending={} limit={}"
                  + " verdict={} rounds={} proposed={} ms={} bytes={}",
              check.jobId(),
              reply.status(),
              check.tokens(),
              counted.totalExcept(check.jobId()),
              counted.reservedExcept(check.jobId()),
              check.limit(),
              verdict,
              rounds,
              proposed,
              elapsedMs,
              bodyBytes);
    }
  }

  /**
   * Counts the submission, and checks the invariant that a job which fits in the order of
   * reservations is not rejected before it has waited.
   *
   * @param maxContentionWaitMs how long a contended job waits before it is rejected, in ms
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
