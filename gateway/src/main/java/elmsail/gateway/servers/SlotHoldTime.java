package elmsail.gateway.servers;

/**
 * Mean time that servers of one service hold a slot for a request, as an exponentially weighted
 * average of completed responses. It gives the wait at a full server: with {@code maxConcurrency}
 * slots held for {@code meanHoldTimeMs} each, one is released every {@code meanHoldTimeMs /
 * maxConcurrency}. Owned by the gateway's event loop.
 */
final class SlotHoldTime {
  /** The release interval before the first observation, in ms. */
  static final double DEFAULT_RELEASE_INTERVAL_MS = 20;

  /** Weight of the newest response: the average covers about the last twenty responses. */
  private static final double SMOOTHING_FACTOR = 0.05;

  /**
   * Upper bound of an observation; longer times are due to slow clients rather than to the server.
   */
  private static final double MAX_HOLD_TIME_MS = 5_000;

  private double meanHoldTimeMs;
  private boolean hasObservation;

  /**
   * Adds the observation of one response.
   *
   * @param holdTimeMs time from the first byte of the response to the last
   */
  void observe(long holdTimeMs) {
    double bounded = Math.max(0, Math.min(MAX_HOLD_TIME_MS, (double) holdTimeMs));
    meanHoldTimeMs =
        hasObservation ? meanHoldTimeMs + SMOOTHING_FACTOR * (bounded - meanHoldTimeMs) : bounded;
    hasObservation = true;
  }

  /** Mean time between two slot releases of a full server, in ms. */
  double releaseIntervalMs(int maxConcurrency) {
    return hasObservation && maxConcurrency > 0
        ? meanHoldTimeMs / maxConcurrency
        : DEFAULT_RELEASE_INTERVAL_MS;
  }
}
