package elmsail.soak;

/** An invariant that did not hold, when, and what was seen. */
record Violation(Invariant invariant, long atMs, String detail) {

  @Override
  public String toString() {
    return invariant + " at " + atMs + " ms: " + detail;
  }
}
