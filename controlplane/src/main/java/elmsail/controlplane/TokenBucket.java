package elmsail.controlplane;

import elmsail.runtime.MonotonicClock;

/**
 * Limits a rate, by the steady clock: never more than the burst of a fifth of a second's calls, at
 * least one, above the rate. Runs on the event loop.
 */
final class TokenBucket {
  private static final double BURST_SECONDS = 0.2;
  private static final double MS_PER_SECOND = 1_000;

  private final MonotonicClock clock;
  private final double tokensPerMs;
  private final double capacity;
  private double tokens;
  private long lastRefillAtMs;

  /** Creates a full one. A rate that is not positive never gives a token. */
  TokenBucket(MonotonicClock clock, double tokensPerSecond) {
    this.clock = clock;
    this.tokensPerMs = Math.max(0, tokensPerSecond) / MS_PER_SECOND;
    this.capacity = tokensPerSecond > 0 ? Math.max(1, tokensPerSecond * BURST_SECONDS) : 0;
    this.tokens = capacity;
    this.lastRefillAtMs = clock.now();
  }

  /** Takes a token if there is one. */
  boolean tryTake() {
    long now = clock.now();
    tokens = Math.min(capacity, tokens + (now - lastRefillAtMs) * tokensPerMs);
    lastRefillAtMs = now;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
