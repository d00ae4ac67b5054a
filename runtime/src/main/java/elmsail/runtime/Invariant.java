package elmsail.runtime;

/**
 * Conditions that hold at all times, whatever fails around the process. A violation is a defect of
 * the tier itself: {@link Invariants} counts and logs it. The constants' names are label values of
 * a metric and stay as they are.
 */
public enum Invariant {
  /**
   * A voter of a register never holds an accepted ballot above the one it has promised, so that a
   * majority of promises fences off every older proposer.
   */
  ACCEPTED_BALLOT_PROMISED,

  /**
   * A committed record of a batch job keeps what its predecessors have: results at their positions,
   * the mark that the job ended, and a term that only increases.
   */
  DECIDED_JOB_KEEPS_ITS_RESULTS,

  /** The text of a listed result has the length given in the job's record. */
  RESULT_TEXT_IS_WHOLE,

  /**
   * A job is rejected for its route's quota only while accepted jobs, or jobs ahead of it among
   * those being accepted, exceed the quota together with it; or after it has waited for the others.
   */
  FITTING_JOB_IS_NOT_REFUSED_AT_ONCE,

  /** The bytes of unrecorded results that a gateway counts belong to the jobs that it runs. */
  HELD_BYTES_BELONG_TO_JOBS
}
