package willowdoor.front.clients;

/**
 * Which rounds of a drain act. A round closes what no request seems to be on, and after a pause of
 * this process requests have come that were not read: so the first round behind one leaves all as
 * it is, and what came is accepted and read before the next. Of two rounds in a row one acts,
 * however busy the process is.
 */
final class DrainRounds {

  /** Rounds follow each other every 10 ms. */
  private static final double STALL_MS = 30;

  private double lastRoundMs = Double.NEGATIVE_INFINITY;
  private boolean skipped;

  /** To be asked once in each round, at this time in milliseconds. */
  boolean shouldAct(double now) {
    skipped = !skipped && now - lastRoundMs > STALL_MS;
    lastRoundMs = now;
    return !skipped;
  }
}
