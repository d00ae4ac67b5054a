package elmsail.batch.api;

/** What one round of a submission has found. */
enum AdmissionVerdict {
  /** The job has a record already: its submission was accepted before. */
  ALREADY_ACCEPTED,
  /** The job fits into the limit of its tenant on its route. */
  FITS,
  /** It exceeds the limit only by reserved jobs that it precedes; it keeps its reservation. */
  CONTENDED_FIRST,
  /** It exceeds the limit only by reserved jobs; it gives way to those that precede it. */
  CONTENDED,
  /** It exceeds the limit with the accepted jobs alone. */
  OVER_QUOTA,
  /** No majority of the stores has counted the waiting tokens. */
  UNKNOWN;

  /** Whether the job does not fit at present. */
  boolean exceedsLimit() {
    return this == OVER_QUOTA || this == CONTENDED_FIRST || this == CONTENDED;
  }
}
