package elmsail.gateway.servers;

/**
 * Mean time that servers of one service hold a slot for a request, as an exponentially weighted
 * average of completed responses. It gives the wait at a full server: with {@code maxConcurrency}
 * slots held for {@code meanHoldMs} each, one is released every {@code meanHoldMs /
 * maxConcurrency}. Owned by the gateway's event loop.
 */
final class SlotHoldTime {
  /** The release interval before the first observation, in ms. */
  static final double DEFAULT_RELEASE_INTERVAL_MS = 20;

  /** Weight of one more response: about the last twenty count. */
  private static final double SMOOTHING_FACTOR = 0.05;

  /** Longer ones say more of a client that reads slowly than of the server. */
  private static final double MAX_HOLD_MS = 5_000;

  private double meanHoldMs;
  private boolean learned;

  /**
   * Adds one response.
   *
   * @param holdMs from its first byte to its last
   */
  void observe(long holdMs) {
    double bounded = Math.max(0, Math.min(MAX_HOLD_MS, (double) holdMs));
    meanHoldMs = learned ? meanHoldMs + SMOOTHING_FACTOR * (bounded - meanHoldMs) : bounded;
    learned = true;
  }

  /** Mean time between two released slots of a full server, in ms. */
  double releaseIntervalMs(int maxConcurrency) {
    return learned && maxConcurrency > 0
        ? meanHoldMs / maxConcurrency
        : DEFAULT_RELEASE_INTERVAL_MS;
  }
}
