package willowdoor.policy;

/** Pauses of this gateway itself, which show as wake-ups that come late. */
final class Stalls {
  /**
   * A wake-up this late: this gateway stood still; and: was held up, and answers may have waited.
   */
  private static final double STALL_MS = 100, HELD_UP_MS = 30;

  double wakeAt, stalledUntil = Double.NEGATIVE_INFINITY, heldUpInAll;
  private double heldUpFrom, heldUpUntil = Double.NEGATIVE_INFINITY; // the last pause

  /**
   * A wake-up that is long overdue shows that this gateway stood still. What came meanwhile is read
   * first, and no wait seen over that time is booked to a backend or the counter. Harm: none but a
   * later look.
   */
  void note(double now) {
    if (now - wakeAt > HELD_UP_MS && wakeAt > heldUpUntil) {
      heldUpFrom = wakeAt;
      heldUpUntil = now;
      heldUpInAll += heldUpUntil - heldUpFrom;
    }
    if (now - wakeAt > STALL_MS) {
      stalledUntil = wakeAt = now;
    }
  }

  /**
   * How long an answer to what was sent then may have waited to be read: the pause that has just
   * ended.
   */
  double heldUp(double sentAt, double now) {
    return now - heldUpUntil < HELD_UP_MS
        ? Math.max(0, heldUpUntil - Math.max(heldUpFrom, sentAt))
        : 0;
  }

  boolean stalled(double now) {
    return now <= stalledUntil;
  }
}
