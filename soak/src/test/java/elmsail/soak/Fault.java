package elmsail.soak;

/**
 * One fault of a schedule.
 *
 * @param target the machine or the process
 * @param other the other process of a pair, else empty
 */
record Fault(FaultKind kind, String target, String other, long startMs, long lengthMs) {

  long endMs() {
    return startMs + lengthMs;
  }

  boolean overlaps(Fault that) {
    return startMs < that.endMs() && that.startMs < endMs();
  }

  @Override
  public String toString() {
    return startMs
        + "-"
        + endMs()
        + " ms "
        + kind
        + " "
        + target
        + (other.isEmpty() ? "" : " " + other);
  }
}
