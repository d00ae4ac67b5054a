package elmsail.runtime;

/**
 * What must hold at all times, whatever fails around the process. A violation is a fault of the
 * tier itself: {@link Invariants} counts and logs it.
 */
public enum Invariant {
  /**
   * A voter of a register never holds an accepted ballot above the one it has promised, so that a
   * majority of promises fences every older proposer off.
   */
  ACCEPTED_BALLOT_PROMISED,

  /**
   * A decided record of a batch job keeps all that an older one has: the results at their
   * positions, that it was ended, and terms that only go up.
   */
  DECIDED_JOB_KEEPS_ITS_RESULTS,

  /** The text of a listed result has the length that the job's record tells. */
  RESULT_TEXT_IS_WHOLE,

  /**
   * A job is refused for the limit of its route only while accepted jobs, or ones that go before it
   * among those being accepted, leave it no room; or after it has waited for the others.
   */
  FITTING_JOB_IS_NOT_REFUSED_AT_ONCE,

  /** Bytes that a gateway counts as held for its jobs are those of the jobs that it runs. */
  HELD_BYTES_BELONG_TO_JOBS
}
