package elmsail.gateway.servers;

/**
 * For how long a server is avoided after connections to it failed or broke: longer with each
 * further failure, until it answers again. Pure; times in ms of the steady clock.
 */
final class FailureBackoff {
  private static final long INITIAL_BACKOFF_MS = 250;
  private static final long MAX_BACKOFF_MS = 3_000;

  /** Answers that break off one after the other count as a failure: single ones happen. */
  private static final int BROKEN_RESPONSES_PER_FAILURE = 2;

  private long avoidedUntil = Long.MIN_VALUE;
  private long backoffMs;
  private int consecutiveBrokenResponses;

  /** It answered. */
  void recordResponse() {
    consecutiveBrokenResponses = 0;
    backoffMs = 0;
    avoidedUntil = Long.MIN_VALUE;
  }

  /** It failed; failures while it is avoided change nothing. */
  void recordFailure(long now) {
    if (now >= avoidedUntil) {
      backoffMs = Math.min(MAX_BACKOFF_MS, Math.max(INITIAL_BACKOFF_MS, 2 * backoffMs));
      avoidedUntil = now + backoffMs;
    }
  }

  /** An answer broke off: whether that counts as a failure now. */
  boolean recordBrokenResponse() {
    consecutiveBrokenResponses++;
    return consecutiveBrokenResponses >= BROKEN_RESPONSES_PER_FAILURE;
  }

  /** Whether it is avoided. */
  boolean isAvoided(long now) {
    return now < avoidedUntil;
  }

  /** Whether it has failed since it last answered. */
  boolean hasFailedSinceResponse() {
    return backoffMs > 0;
  }
}
