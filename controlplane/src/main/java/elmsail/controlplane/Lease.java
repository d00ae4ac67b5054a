package elmsail.controlplane;

/**
 * The asker's side of one duty's lease. It is held from before a round was sent until the voters'
 * time less a margin, and that is looked up on the steady clock at each use: a process that was
 * frozen finds that it has lost it. All times are steady ms.
 */
final class Lease {
  static final long RENEW_MS = 600;
  static final long MARGIN_MS = 200;

  /**
   * A round that has no majority by then is given up, so that what was granted doesn't block
   * another's.
   */
  private static final long ROUND_MS = 250;

  /**
   * After a round that was given up; longer for those that come later in the order of preference.
   */
  private static final long PAUSE_MS = 100;

  private static final long PLACE_MS = 350;

  private final long waitMs;
  private long round;
  private long sentAt;
  private int voters;
  private long grantedBy;
  private boolean won = true;
  private long refusedMs;
  private long until = Long.MIN_VALUE;
  private long nextAt;

  /**
   * Makes one.
   *
   * @param start steady ms
   * @param place this process's place in the order of preference, 0 first: the others begin a
   *     little later
   */
  Lease(long start, int place) {
    this.waitMs = Math.max(0, place) * PLACE_MS;
    this.nextAt = start + waitMs;
  }

  /** Whether it is held at this very moment. */
  boolean held(long now) {
    return now < until;
  }

  /**
   * What is due now: a new round to be sent to all voters at once (its number), the giving up of
   * the round before (its number, negative), to be told to all of them, or nothing (0).
   */
  long begin(long now, int voterCount) {
    if (now < nextAt || voterCount == 0) {
      return 0;
    }
    boolean held = held(now);
    if (!won && !held) {
      won = true;
      voters = 0;
      nextAt = now + PAUSE_MS + waitMs + Math.min(refusedMs, LeaseVoter.LEASE_MS) / 2;
      return -round;
    }
    round++;
    sentAt = now;
    voters = voterCount;
    grantedBy = 0;
    won = false;
    refusedMs = 0;
    nextAt = now + (held ? RENEW_MS / 2 : ROUND_MS);
    return round;
  }

  /**
   * A voter (its place in the voter set) has granted it in that round; true if that made it held
   * anew.
   */
  boolean granted(long inRound, int voter, long now) {
    if (inRound != round || voter >= voters) {
      return false;
    }
    grantedBy |= 1L << voter;
    if (won || Long.bitCount(grantedBy) <= voters / 2) {
      return false;
    }
    won = true;
    boolean before = held(now);
    until = Math.max(until, sentAt + LeaseVoter.LEASE_MS - MARGIN_MS);
    nextAt = sentAt + RENEW_MS;
    return !before && held(now);
  }

  /** A voter said that another holds it for so long yet: no need to ask much sooner. */
  void refused(long inRound, long leftMs) {
    if (inRound == round) {
      refusedMs = Math.max(refusedMs, leftMs);
    }
  }

  /**
   * Gives it up at once: the number of the last round, negative, to be told to all voters; 0 for
   * none.
   */
  long drop() {
    until = Long.MIN_VALUE;
    won = true;
    voters = 0;
    nextAt = Long.MAX_VALUE;
    return -round;
  }
}
