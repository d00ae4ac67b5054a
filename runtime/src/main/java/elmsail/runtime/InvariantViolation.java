package elmsail.runtime;

/** Thrown by strict {@link Invariants} alone, so that a test fails where an invariant is broken. */
public final class InvariantViolation extends AssertionError {
  private static final long serialVersionUID = 1;

  private final Invariant invariant;

  InvariantViolation(Invariant invariant, String detail) {
    super(invariant + ": " + detail);
    this.invariant = invariant;
  }

  /** Which invariant did not hold. */
  public Invariant invariant() {
    return invariant;
  }
}
