package willowdoor.members;

/** At most so many in each stretch of time. */
final class Rate {

  private final int most;
  private final long everyMs;
  private long from;
  private int taken;

  Rate(int most, long everyMs, long now) {
    this.most = most;
    this.everyMs = everyMs;
    from = now;
  }

  /** Whether one more may be; it is counted then. */
  boolean take(long now) {
    if (now - from >= everyMs) {
      from = now;
      taken = 0;
    }
    boolean may = taken < most;
    taken += may ? 1 : 0;
    return may;
  }
}
