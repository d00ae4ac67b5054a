package willowdoor.front.requests;

/**
 * The time that a client gives its request, on the monotonic clock: set once, when the request's
 * last byte came, and passed along. Every wait of the request takes its limit from here: the
 * smaller of the wait's own limit and of what is left.
 */
record Budget(double startMs, double endMs) {

  /**
   * The last moment for a final answer, ahead of the client's own: later than any answer of the
   * module.
   */
  private static final double FINAL_ANSWER_MARGIN_MS = 6;

  /** The time of a request that came at the moment, with so long to live. */
  static Budget of(double fromMs, double lengthMs) {
    return new Budget(fromMs, fromMs + lengthMs);
  }

  /** The limit of a wait that begins now and may take so long by itself. */
  double limitMs(double ownMs, double now) {
    return Math.max(0, Math.min(ownMs, endMs - now));
  }

  /** What is left for the final answer to be decided on. */
  double finalAnswerDelayMs(double now) {
    return limitMs(Double.POSITIVE_INFINITY, now + FINAL_ANSWER_MARGIN_MS);
  }

  /** The part of the whole time that is left, from 0 to 1. */
  double fractionLeft(double now) {
    return endMs > startMs
        ? Math.min(1, limitMs(Double.POSITIVE_INFINITY, now) / (endMs - startMs))
        : 0;
  }

  /** The same time, cut off where something else ends earlier. */
  Budget cappedAt(double endsAt) {
    return endsAt < endMs ? new Budget(startMs, endsAt) : this;
  }
}
