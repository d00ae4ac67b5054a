package willowdoor.front.clients;

/**
 * Which rounds of a drain act. A round closes what no request seems to be on, and after a pause of
 * this process requests have come that were not read: so the first round behind one leaves all as
 * it is, and what came is accepted and read before the next. Of two rounds in a row one acts,
 * however busy the process is.
 */
final class Rounds {

  /** Rounds follow each other every 10 ms. */
  private static final double STOOD_STILL_MS = 30;

  private double last = Double.NEGATIVE_INFINITY;
  private boolean passedOver;

  /** To be asked once in each round, at this time in milliseconds. */
  boolean acts(double now) {
    passedOver = !passedOver && now - last > STOOD_STILL_MS;
    last = now;
    return !passedOver;
  }
}
