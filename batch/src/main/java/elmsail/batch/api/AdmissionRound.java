package elmsail.batch.api;

/** The rounds of one attempt to submit a job, see {@link SubmitHandler}. */
enum AdmissionRound {
  /** Reads the waiting tokens of the tenant on the route and reserves nothing. */
  READ,
  /** Reserves the tokens of the job at a majority of the stores. */
  RESERVE,
  /** Reads once more, now that the reservation stands at a majority, and proposes the record. */
  COMMIT
}
