package elmsail.gateway.servers;

/**
 * Exponential backoff of one server after failed or broken connections, until it responds again.
 * Pure; times in ms on the event loop's clock.
 */
final class FailureBackoff {
  private static final long INITIAL_BACKOFF_MS = 250;
  private static final long MAX_BACKOFF_MS = 3_000;

  /**
   * Number of consecutive broken responses that count as a failure. Single broken responses occur
   * in normal operation.
   */
  private static final int BROKEN_RESPONSES_PER_FAILURE = 2;

  private long avoidedUntil = Long.MIN_VALUE;
  private long backoffMs;
  private int consecutiveBrokenResponses;

  /** Records a response of the server, which ends the backoff. */
  void recordResponse() {
    consecutiveBrokenResponses = 0;
    backoffMs = 0;
    avoidedUntil = Long.MIN_VALUE;
  }

  /** Starts or extends the backoff; failures during a backoff change nothing. */
  void recordFailure(long now) {
    if (now >= avoidedUntil) {
      backoffMs = Math.min(MAX_BACKOFF_MS, Math.max(INITIAL_BACKOFF_MS, 2 * backoffMs));
      avoidedUntil = now + backoffMs;
    }
  }

  /** Records an incomplete response; returns true if this counts as a failure. */
  boolean recordBrokenResponse() {
    consecutiveBrokenResponses++;
    return consecutiveBrokenResponses >= BROKEN_RESPONSES_PER_FAILURE;
  }

  /** Whether the backoff is in force. */
  boolean isAvoided(long now) {
    return now < avoidedUntil;
  }

  /** Whether the server has failed since its last response. */
  boolean hasFailedSinceResponse() {
    return backoffMs > 0;
  }
}
