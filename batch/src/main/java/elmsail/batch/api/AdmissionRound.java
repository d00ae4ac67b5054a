package elmsail.batch.api;

/** The rounds of one attempt to submit a job. See {@link SubmitHandler}. */
enum AdmissionRound {
  /** Reads the waiting tokens of the tenant on the route and reserves nothing. */
  READ,
  /** Reserves the tokens of the job at a majority of the stores. */
  RESERVE,
  /**
   * Reads the waiting tokens again after a majority of the stores has the reservation, and proposes
   * the record if the job fits.
   */
  COMMIT
}
