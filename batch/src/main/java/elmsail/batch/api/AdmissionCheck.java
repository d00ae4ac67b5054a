package elmsail.batch.api;

import elmsail.batch.messages.WaitingTokens;

/**
 * The judgement whether a job fits into the limit of its tenant on its route. A pure function of
 * the counted tokens.
 *
 * <p>Jobs that are reserved at the same time count against each other, so that of several that
 * would fit one by one, each may find the limit reached. The order of {@link
 * WaitingTokens#totalAheadOf} breaks the tie: a job that fits behind those that precede it keeps
 * its reservation, and the others yield.
 *
 * @param tokens of the job
 * @param limit on the waiting tokens of the tenant on the route; 0 for none
 */
record AdmissionCheck(String jobId, long tokens, long limit) {

  /** Judges the job by the tokens that were counted in this round. */
  AdmissionVerdict evaluate(WaitingTokens counted, AdmissionRound round) {
    if (limit == 0 || counted.totalExcept(jobId) + tokens <= limit) {
      return AdmissionVerdict.FITS;
    }
    if (exceedsLimitByAccepted(counted)) {
      return AdmissionVerdict.OVER_QUOTA;
    }
    // Before it has reserved its tokens, a job has no place in the order.
    boolean reserved = round != AdmissionRound.READ;
    return reserved && fitsInOrder(counted)
        ? AdmissionVerdict.CONTENDED_FIRST
        : AdmissionVerdict.CONTENDED;
  }

  /** Whether the job exceeds the limit together with the accepted jobs alone. */
  boolean exceedsLimitByAccepted(WaitingTokens counted) {
    return counted.acceptedExcept(jobId) + tokens > limit;
  }

  /** Whether the job fits together with the accepted jobs and the reserved ones that precede it. */
  boolean fitsInOrder(WaitingTokens counted) {
    return counted.totalAheadOf(jobId) + tokens <= limit;
  }
}
