package elmsail.gateway.servers;

/**
 * How long the servers of one service hold a place for a request, learned from the answers that
 * pass. From it follows the wait of a request that finds all places taken: with {@code berths}
 * places held for {@code holdMs} each, one becomes free every {@code holdMs / berths}.
 */
final class SlotHoldTime {
  /** The wait for one place before anything was learned, in ms. */
  static final double DEFAULT_RELEASE_INTERVAL_MS = 20;

  /** Weight of one more answer in the mean: about the last twenty count. */
  private static final double SMOOTHING_FACTOR = 0.05;

  /** Longer ones say more of a client that does not read than of the server. */
  private static final double MAX_HOLD_MS = 5_000;

  private double meanHoldMs;
  private boolean learned;

  /** An answer took so long from its first byte to its last. */
  void observe(long holdMs) {
    double bounded = Math.max(0, Math.min(MAX_HOLD_MS, (double) holdMs));
    meanHoldMs = learned ? meanHoldMs + SMOOTHING_FACTOR * (bounded - meanHoldMs) : bounded;
    learned = true;
  }

  /** The mean time between two places that become free at a full server, in ms. */
  double releaseIntervalMs(int maxConcurrency) {
    return learned && maxConcurrency > 0
        ? meanHoldMs / maxConcurrency
        : DEFAULT_RELEASE_INTERVAL_MS;
  }
}
