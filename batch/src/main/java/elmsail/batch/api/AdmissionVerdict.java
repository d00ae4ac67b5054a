package elmsail.batch.api;

/** The outcome of one round of a submission. */
enum AdmissionVerdict {
  /** The job has a record already: its submission was accepted before. */
  ALREADY_ACCEPTED,
  /** The job fits within the limit of its tenant on its route. */
  FITS,
  /**
   * The job exceeds the limit only because of reserved jobs that come after it in the order. It
   * keeps its reservation.
   */
  CONTENDED_FIRST,
  /**
   * The job exceeds the limit only because of reserved jobs, and either has no reservation yet or
   * does not fit together with the reserved jobs ahead of it. It withdraws any reservation and
   * retries.
   */
  CONTENDED,
  /** The job exceeds the limit together with the accepted jobs alone. */
  OVER_QUOTA,
  /** Fewer than a majority of the stores have returned their count of the waiting tokens. */
  UNKNOWN;

  /** Whether the round leaves the job without a record and without a round that proposes one. */
  boolean isRefusal() {
    return this != ALREADY_ACCEPTED && this != FITS;
  }

  /** Whether the job currently exceeds the limit. */
  boolean exceedsLimit() {
    return this == OVER_QUOTA || this == CONTENDED_FIRST || this == CONTENDED;
  }
}
