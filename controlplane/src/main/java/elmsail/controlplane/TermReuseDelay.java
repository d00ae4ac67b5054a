package elmsail.controlplane;

/**
 * Determines when a process may use a newly acquired term of the lease. If another process may have
 * held a term since this process last used one, the new term is usable only after a delay from that
 * last use. Without the delay, two holders could alternate within the time of one lease. A further
 * acquisition does not shorten a delay that has begun. Does no I/O; times are in ms of the
 * monotonic clock. Runs on the event loop.
 */
final class TermReuseDelay {
  private final long reuseDelayMs;

  /** The last term that this process acquired; 0 before the first. */
  private long lastTerm;

  private long lastUsedAtMs;
  private long usableFromMs;

  /**
   * Creates an instance without a term.
   *
   * @param reuseDelayMs time from the last use of a term to the next use if another process may
   *     have held a term in between; 0 for no delay
   */
  TermReuseDelay(long reuseDelayMs) {
    this.reuseDelayMs = reuseDelayMs;
  }

  /** Records the acquisition of a term, which is higher than all earlier ones. */
  void onAcquired(long newTerm) {
    boolean mayHaveBeenHeldByOthers = lastTerm > 0 && newTerm > lastTerm + 1;
    if (mayHaveBeenHeldByOthers) {
      usableFromMs = Math.max(usableFromMs, lastUsedAtMs + reuseDelayMs);
    }
    lastTerm = newTerm;
  }

  /** Whether the last acquired term may be used at that time. */
  boolean isUsable(long now) {
    return now >= usableFromMs;
  }

  /** Records a use of the last acquired term. */
  void onUsed(long now) {
    lastUsedAtMs = now;
  }
}
