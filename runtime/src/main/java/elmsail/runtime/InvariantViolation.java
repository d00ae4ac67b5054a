package elmsail.runtime;

/** Thrown by strict {@link Invariants} only, so that a test fails on a violated invariant. */
public final class InvariantViolation extends AssertionError {
  private static final long serialVersionUID = 1;

  private final Invariant invariant;

  InvariantViolation(Invariant invariant, String detail) {
    super(invariant + ": " + detail);
    this.invariant = invariant;
  }

  /** The violated invariant. */
  public Invariant invariant() {
    return invariant;
  }
}
