package willowdoor.policy;

/** Detects pauses of this gateway's event loop by timers that fire late. */
final class StallDetector {
  /**
   * Timer delays that count as a stall, and as a pause after which responses may have waited to be
   * read.
   */
  private static final double STALL_MS = 100, PAUSE_MS = 30;

  double nextWakeAt, stalledUntil = Double.NEGATIVE_INFINITY, totalPauseMs;

  /** Start and end of the last pause. */
  private double pauseStart, pauseEnd = Double.NEGATIVE_INFINITY;

  /**
   * Checks at each event whether the timer is overdue. After a stall, the events that arrived
   * during it are read first, and waits measured across it are not attributed to a backend or the
   * counter. Cost: waiting requests are checked a little later.
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
   * How long the response to an attempt sent at {@code sentAt} may have waited to be read, because
   * of a pause that has just ended.
   */
  double pauseAfter(double sentAt, double now) {
    return now - pauseEnd < PAUSE_MS ? Math.max(0, pauseEnd - Math.max(pauseStart, sentAt)) : 0;
  }

  boolean isStalled(double now) {
    return now <= stalledUntil;
  }
}
