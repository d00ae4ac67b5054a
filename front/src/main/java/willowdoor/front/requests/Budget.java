package willowdoor.front.requests;

/**
 * The time that a client allows its request, on the monotonic clock. It is set once, when the
 * request's last byte arrives, and passed along. Every wait of the request takes its limit from
 * here: the smaller of the wait's own limit and the time left.
 */
record Budget(double startMs, double endMs) {

  /**
   * How long before the client's deadline the final answer is forced. The policy's own answers come
   * earlier than that.
   */
  private static final double FINAL_ANSWER_MARGIN_MS = 6;

  /**
   * The budget of a request that arrived at the given time and may take the given length of time.
   */
  static Budget of(double fromMs, double lengthMs) {
    return new Budget(fromMs, fromMs + lengthMs);
  }

  /** The limit of a wait that begins now and has a limit of its own. */
  double limitMs(double ownMs, double now) {
    return Math.max(0, Math.min(ownMs, endMs - now));
  }

  /** The time until the final answer is forced. */
  double finalAnswerDelayMs(double now) {
    return limitMs(Double.POSITIVE_INFINITY, now + FINAL_ANSWER_MARGIN_MS);
  }

  /** The fraction of the budget that is left, from 0 to 1. */
  double fractionLeft(double now) {
    return endMs > startMs
        ? Math.min(1, limitMs(Double.POSITIVE_INFINITY, now) / (endMs - startMs))
        : 0;
  }

  /** The same budget, ended earlier if the given time is before its end. */
  Budget cappedAt(double endsAt) {
    return endsAt < endMs ? new Budget(startMs, endsAt) : this;
  }
}
