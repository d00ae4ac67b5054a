package elmsail.controlplane;

/**
 * When a process may use a term of the lease that it has just acquired. If another process may have
 * had a term since this one last used one, that is not before the time of a lease has passed since
 * then: else the two would act by turns within that time. A wait that has begun is not cut short by
 * a further acquisition. Does no I/O; times are in ms of the steady clock. Runs on the event loop.
 */
final class TermReuseDelay {
  private final long reuseDelayMs;

  /** The last term that this process acquired; 0 if none. */
  private long lastTerm;

  private long lastUsedAtMs;
  private long usableFromMs;

  /**
   * Creates one without a term.
   *
   * @param reuseDelayMs from the last use to the next if another may have had a term between; 0 for
   *     no wait
   */
  TermReuseDelay(long reuseDelayMs) {
    this.reuseDelayMs = reuseDelayMs;
  }

  /** A term was acquired; it is higher than all before. */
  void onAcquired(long newTerm) {
    boolean mayHaveBeenHeldByOthers = lastTerm > 0 && newTerm > lastTerm + 1;
    if (mayHaveBeenHeldByOthers) {
      usableFromMs = Math.max(usableFromMs, lastUsedAtMs + reuseDelayMs);
    }
    lastTerm = newTerm;
  }

  /** Whether the last acquired term may be used now. */
  boolean isUsable(long now) {
    return now >= usableFromMs;
  }

  /** The last acquired term is used now. */
  void onUsed(long now) {
    lastUsedAtMs = now;
  }
}
