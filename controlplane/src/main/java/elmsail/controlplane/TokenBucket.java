package elmsail.controlplane;

import elmsail.runtime.MonotonicClock;

/**
 * Token bucket rate limiter on the monotonic clock. The burst is a fifth of a second's tokens, at
 * least one token. Runs on the event loop.
 */
final class TokenBucket {
  private static final double BURST_SECONDS = 0.2;
  private static final double MS_PER_SECOND = 1_000;

  private final MonotonicClock clock;
  private final double tokensPerMs;
  private final double capacity;
  private double tokens;
  private long lastRefillAtMs;

  /** Creates a full bucket. A bucket whose rate is not positive never has a token. */
  TokenBucket(MonotonicClock clock, double tokensPerSecond) {
    this.clock = clock;
    this.tokensPerMs = Math.max(0, tokensPerSecond) / MS_PER_SECOND;
    this.capacity = tokensPerSecond > 0 ? Math.max(1, tokensPerSecond * BURST_SECONDS) : 0;
    this.tokens = capacity;
    this.lastRefillAtMs = clock.now();
  }

  /** Takes a token if one is available; returns whether it did. */
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
