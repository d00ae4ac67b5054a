package willowdoor.purge;

/**
 * The times of one fleet in whole milliseconds, the same at each front door. Every one is counted
 * on the monotonic clock of the process that counts it; {@link #stretch} covers the difference
 * between two such clocks.
 *
 * @param boundMs L: within which a purge is complete while a majority of keepers is there; above
 *     {@code stretch(leaseMs)}
 * @param leaseMs how long a holder counts a grant, from the sending of its request; above {@code
 *     guardMs}
 * @param guardMs how long a lease must still run at a use, so that a short pause behind the check
 *     does no harm
 * @param renewMs between two renewals
 * @param resendMs before a message without an answer is sent again the first time
 * @param driftPercent each clock's rate is within so many hundredths of the true one; 0 to 50
 * @param roundMs what whole milliseconds can hide; 1, or 0 where clocks move in whole milliseconds
 */
public record Timing(
    long boundMs,
    long leaseMs,
    long guardMs,
    long renewMs,
    long resendMs,
    int driftPercent,
    long roundMs) {

  public Timing {
    if (driftPercent < 0 || driftPercent > 50 || roundMs < 0 || guardMs < 0) {
      throw new IllegalArgumentException(
          "drift is 0 to 50 percent, round and guard are not negative");
    }
    if (renewMs < 1 || resendMs < 1 || leaseMs <= guardMs) {
      throw new IllegalArgumentException(
          "renewals and resends need 1 ms, a lease more than its guard");
    }
    if (boundMs > 60_000 || boundMs <= stretch(leaseMs, driftPercent, roundMs) + roundMs) {
      throw new IllegalArgumentException(
          "the bound is up to 60,000 ms and above a stretched lease");
    }
  }

  /** The usual parts of a bound. {@code boundMs}: 300 to 60,000. */
  public static Timing of(long boundMs) {
    if (boundMs < 300) {
      throw new IllegalArgumentException("the bound is 300 to 60,000 ms");
    }
    return new Timing(
        boundMs, boundMs * 4 / 5, boundMs / 15, boundMs * 2 / 15, Math.min(50, boundMs / 10), 1, 1);
  }

  /** So long that another process's {@code ms} are over by its clock too. */
  public long stretch(long ms) {
    return stretch(ms, driftPercent, roundMs);
  }

  /** A keeper's silence after its start, and how long it holds a run after the last word of it. */
  public long keepMs() {
    return stretch(boundMs);
  }

  private static long stretch(long ms, int driftPercent, long roundMs) {
    long slow = 100L - driftPercent;
    return (ms * (100 + driftPercent) + slow - 1) / slow + roundMs;
  }
}
