package elmsail.batch.api;

import elmsail.batch.messages.WaitingTokens;

/**
 * Checks whether a job fits within the limit on the waiting tokens of its tenant on its route. The
 * result depends only on the counted tokens.
 *
 * <p>Jobs that reserve tokens at the same time count against each other. Several jobs of which each
 * fits alone may therefore all exceed the limit. The order of {@link WaitingTokens#totalAheadOf}
 * breaks the tie: a job that fits together with the jobs ahead of it keeps its reservation, and the
 * other jobs withdraw theirs.
 *
 * @param tokens the tokens of the job
 * @param limit the limit on the waiting tokens of the tenant on the route; 0 means no limit
 */
record AdmissionCheck(String jobId, long tokens, long limit) {

  /** Evaluates the job against the tokens that were counted in this round. */
  AdmissionVerdict evaluate(WaitingTokens counted, AdmissionRound round) {
    if (limit == 0 || counted.totalExcept(jobId) + tokens <= limit) {
      return AdmissionVerdict.FITS;
    }
    if (exceedsLimitByAccepted(counted)) {
      return AdmissionVerdict.OVER_QUOTA;
    }
    // A job takes part in the order only after it has reserved its tokens.
    boolean reserved = round != AdmissionRound.READ;
    return reserved && fitsInOrder(counted)
        ? AdmissionVerdict.CONTENDED_FIRST
        : AdmissionVerdict.CONTENDED;
  }

  /** Whether the job exceeds the limit together with the accepted jobs alone. */
  boolean exceedsLimitByAccepted(WaitingTokens counted) {
    return counted.acceptedExcept(jobId) + tokens > limit;
  }

  /** Whether the job fits together with the accepted jobs and the reserved jobs ahead of it. */
  boolean fitsInOrder(WaitingTokens counted) {
    return counted.totalAheadOf(jobId) + tokens <= limit;
  }
}
