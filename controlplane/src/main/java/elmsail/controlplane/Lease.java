package elmsail.controlplane;

/**
 * The asker's side of one duty's lease. It is held from before a round was sent until the voters'
 * time less a margin, and that is looked up on the steady clock at each use: a process that was
 * frozen finds that it has lost it. All times are steady ms.
 */
final class Lease {
  static final long RENEW_INTERVAL_MS = 600;
  static final long SAFETY_MARGIN_MS = 200;

  /**
   * A round that has no majority by then is given up, so that what was granted doesn't block
   * another's.
   */
  private static final long ROUND_TIMEOUT_MS = 250;

  /**
   * After a round that was given up; longer for those that come later in the order of preference.
   */
  private static final long RETRY_DELAY_MS = 100;

  private static final long DELAY_PER_RANK_MS = 350;

  private final long rankDelayMs;
  private long round;
  private long roundSentAtMs;
  private int voterCount;
  private long grantedByBits;
  private boolean roundWon = true;
  private long otherHolderLeftMs;
  private long heldUntilMs = Long.MIN_VALUE;
  private long nextRoundAtMs;

  /**
   * Makes one.
   *
   * @param startedAtMs steady ms
   * @param rank this process's place in the order of preference, 0 first: the others begin a little
   *     later
   */
  Lease(long startedAtMs, int rank) {
    this.rankDelayMs = Math.max(0, rank) * DELAY_PER_RANK_MS;
    this.nextRoundAtMs = startedAtMs + rankDelayMs;
  }

  /** Whether it is held at this very moment. */
  boolean isHeld(long now) {
    return now < heldUntilMs;
  }

  /**
   * What is due now: a new round to be sent to all voters at once (its number), the giving up of
   * the round before (its number, negative), to be told to all of them, or nothing (0).
   */
  long poll(long now, int voterCount) {
    if (now < nextRoundAtMs || voterCount == 0) {
      return 0;
    }
    boolean isHeld = isHeld(now);
    if (!roundWon && !isHeld) {
      roundWon = true;
      this.voterCount = 0;
      nextRoundAtMs =
          now
              + RETRY_DELAY_MS
              + rankDelayMs
              + Math.min(otherHolderLeftMs, LeaseVoter.LEASE_DURATION_MS) / 2;
      return -round;
    }
    round++;
    roundSentAtMs = now;
    this.voterCount = voterCount;
    grantedByBits = 0;
    roundWon = false;
    otherHolderLeftMs = 0;
    nextRoundAtMs = now + (isHeld ? RENEW_INTERVAL_MS / 2 : ROUND_TIMEOUT_MS);
    return round;
  }

  /**
   * A voter (its place in the voter set) has granted it in that round; true if that made it held
   * anew.
   */
  boolean onGranted(long responseRound, int voterIndex, long now) {
    if (responseRound != round || voterIndex >= voterCount) {
      return false;
    }
    grantedByBits |= 1L << voterIndex;
    if (roundWon || Long.bitCount(grantedByBits) <= voterCount / 2) {
      return false;
    }
    roundWon = true;
    boolean wasHeld = isHeld(now);
    heldUntilMs =
        Math.max(heldUntilMs, roundSentAtMs + LeaseVoter.LEASE_DURATION_MS - SAFETY_MARGIN_MS);
    nextRoundAtMs = roundSentAtMs + RENEW_INTERVAL_MS;
    return !wasHeld && isHeld(now);
  }

  /** A voter said that another holds it for so long yet: no need to ask much sooner. */
  void onRefused(long responseRound, long leftMs) {
    if (responseRound == round) {
      otherHolderLeftMs = Math.max(otherHolderLeftMs, leftMs);
    }
  }

  /**
   * Gives it up at once: the number of the last round, negative, to be told to all voters; 0 for
   * none.
   */
  long relinquish() {
    heldUntilMs = Long.MIN_VALUE;
    roundWon = true;
    voterCount = 0;
    nextRoundAtMs = Long.MAX_VALUE;
    return -round;
  }
}
