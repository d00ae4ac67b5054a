package willowdoor.members;

/** At most so many in each stretch of time. */
final class RateLimiter {

  private final int limit;
  private final long windowMs;
  private long windowStart;
  private int used;

  RateLimiter(int limit, long windowMs, long now) {
    this.limit = limit;
    this.windowMs = windowMs;
    windowStart = now;
  }

  /** Whether one more may be; it is counted then. */
  boolean tryAcquire(long now) {
    if (now - windowStart >= windowMs) {
      windowStart = now;
      used = 0;
    }
    boolean allowed = used < limit;
    used += allowed ? 1 : 0;
    return allowed;
  }
}
