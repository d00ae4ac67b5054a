package willowdoor.purge;

/**
 * The times of one fleet in whole milliseconds, the same at each gateway. Each time is measured on
 * the monotonic clock of the process that uses the time; {@link #stretch} covers the difference
 * between two such clocks. The names of this record and its components are part of the digest of
 * {@link Codec} and must not change.
 *
 * @param boundMs L: the time within which a purge is complete while a majority of acceptors is
 *     available; above {@code stretch(leaseMs)}
 * @param leaseMs how long a holder counts a grant, from the send time of its request; above {@code
 *     guardMs}
 * @param guardMs how long a lease must still run at a use, so that a short pause after the check
 *     does no harm
 * @param renewMs the time between two renewals
 * @param resendMs the time before a message without an answer is sent again for the first time
 * @param driftPercent the largest difference between the rate of a clock and the true rate, in
 *     percent; 0 to 50
 * @param roundMs the largest error of rounding to whole milliseconds; 1, or 0 where clocks advance
 *     in whole milliseconds
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
          "driftPercent must be 0 to 50, roundMs and guardMs not negative");
    }
    if (renewMs < 1 || resendMs < 1 || leaseMs <= guardMs) {
      throw new IllegalArgumentException(
          "renewMs and resendMs must be at least 1, leaseMs above guardMs");
    }
    if (boundMs > 60_000 || boundMs <= stretch(leaseMs, driftPercent, roundMs) + roundMs) {
      throw new IllegalArgumentException(
          "boundMs must be at most 60,000 and above stretch(leaseMs) + roundMs");
    }
  }

  /** The usual proportions for a bound. {@code boundMs}: 300 to 60,000. */
  public static Timing of(long boundMs) {
    if (boundMs < 300) {
      throw new IllegalArgumentException("boundMs must be 300 to 60,000");
    }
    return new Timing(
        boundMs, boundMs * 4 / 5, boundMs / 15, boundMs * 2 / 15, Math.min(50, boundMs / 10), 1, 1);
  }

  /** A time after which {@code ms} of another process are over on that process's clock too. */
  public long stretch(long ms) {
    return stretch(ms, driftPercent, roundMs);
  }

  /**
   * How long an acceptor is silent after its start, and how long it holds a run after the last
   * message about the run.
   */
  public long keepMs() {
    return stretch(boundMs);
  }

  private static long stretch(long ms, int driftPercent, long roundMs) {
    long slow = 100L - driftPercent;
    return (ms * (100 + driftPercent) + slow - 1) / slow + roundMs;
  }
}
