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
  ACCEPTED_BALLOT_PROMISED
}
