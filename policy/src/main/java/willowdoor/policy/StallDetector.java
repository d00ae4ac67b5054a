package willowdoor.policy;

/** Pauses of this gateway itself, which show as wake-ups that come late. */
final class StallDetector {
  /**
   * A wake-up this late: this gateway stood still; and: was held up, and answers may have waited.
   */
  private static final double STALL_MS = 100, PAUSE_MS = 30;

  double nextWakeAt, stalledUntil = Double.NEGATIVE_INFINITY, totalPauseMs;
  private double pauseStart, pauseEnd = Double.NEGATIVE_INFINITY; // the last pause

  /**
   * A wake-up that is long overdue shows that this gateway stood still. What came meanwhile is read
   * first, and no wait seen over that time is booked to a backend or the counter. Harm: none but a
   * later look.
   */
  void onEvent(double now) {
    if (now - nextWakeAt > PAUSE_MS && nextWakeAt > pauseEnd) {
      pauseStart = nextWakeAt;
      pauseEnd = now;
      totalPauseMs += pauseEnd - pauseStart;
    }
    if (now - nextWakeAt > STALL_MS) {
      stalledUntil = nextWakeAt = now;
    }
  }

  /**
   * How long an answer to what was sent then may have waited to be read: the pause that has just
   * ended.
   */
  double pauseAfter(double sentAt, double now) {
    return now - pauseEnd < PAUSE_MS ? Math.max(0, pauseEnd - Math.max(pauseStart, sentAt)) : 0;
  }

  boolean isStalled(double now) {
    return now <= stalledUntil;
  }
}
