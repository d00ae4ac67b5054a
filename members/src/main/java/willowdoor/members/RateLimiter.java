package willowdoor.members;

/** Allows up to a fixed number of operations per time window. */
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

  /** Whether one more operation is allowed; counts the operation if it is. */
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
