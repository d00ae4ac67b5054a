package elmsail.controlplane;

import java.util.Optional;

/**
 * A candidate's or holder's side of a lease that a majority of voters grants. A won round makes the
 * lease held from the time at which the round was sent, for the lease's duration less a safety
 * margin. Whether it is held is decided by the monotonic clock at each use, so that a process that
 * was frozen finds that it has lost it. Times are in ms of the monotonic clock. Pure: the caller
 * sends the rounds; runs on the event loop.
 */
final class Lease {
  /**
   * A message that is due to all voters at once.
   *
   * @param number of the round, rising from 1
   * @param kind whether the lease is requested, or what the round was granted is released
   */
  record Round(long number, Kind kind) {
    enum Kind {
      REQUEST,
      RELEASE
    }
  }

  static final long RENEW_INTERVAL_MS = 600;
  static final long SAFETY_MARGIN_MS = 200;

  /** A round without a majority by then is released, so that it doesn't block other candidates. */
  private static final long ROUND_TIMEOUT_MS = 250;

  /** After a released round; later by rank. */
  private static final long RETRY_DELAY_MS = 100;

  /** Candidates of a higher rank begin so much later each, so that the first one mostly wins. */
  private static final long DELAY_PER_RANK_MS = 350;

  private final long rankDelayMs;
  private long round;
  private long roundSentAtMs;
  private int voterCount;
  private long grantedByBits;
  private boolean roundWon = true;
  private long otherHolderRemainingMs;
  private long heldUntilMs = Long.MIN_VALUE;
  private long nextRoundAtMs;

  /**
   * Creates one that is not held.
   *
   * @param startedAtMs the present time
   * @param rank of this process among the candidates; 0 begins first
   */
  Lease(long startedAtMs, int rank) {
    this.rankDelayMs = Math.max(0, rank) * DELAY_PER_RANK_MS;
    this.nextRoundAtMs = startedAtMs + rankDelayMs;
  }

  /** Whether the lease is held at that time. */
  boolean isHeld(long now) {
    return now < heldUntilMs;
  }

  /** What is due to all voters now: a new round, the release of the last one, or nothing. */
  Optional<Round> poll(long now, int voterCount) {
    if (now < nextRoundAtMs || voterCount == 0) {
      return Optional.empty();
    }
    boolean isHeld = isHeld(now);
    if (!roundWon && !isHeld) {
      roundWon = true;
      this.voterCount = 0;
      nextRoundAtMs =
          now
              + RETRY_DELAY_MS
              + rankDelayMs
              + Math.min(otherHolderRemainingMs, LeaseVoter.LEASE_DURATION_MS) / 2;
      return Optional.of(new Round(round, Round.Kind.RELEASE));
    }
    round++;
    roundSentAtMs = now;
    this.voterCount = voterCount;
    grantedByBits = 0;
    roundWon = false;
    otherHolderRemainingMs = 0;
    nextRoundAtMs = now + (isHeld ? RENEW_INTERVAL_MS / 2 : ROUND_TIMEOUT_MS);
    return Optional.of(new Round(round, Round.Kind.REQUEST));
  }

  /**
   * Counts a voter's grant.
   *
   * @param voterIndex the voter's slot, below 64
   * @return whether the lease, not held before, is held now
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

  /**
   * Notes that another candidate holds a voter's grant for so long: the next round waits for it.
   */
  void onRefused(long responseRound, long remainingMs) {
    if (responseRound == round) {
      otherHolderRemainingMs = Math.max(otherHolderRemainingMs, remainingMs);
    }
  }

  /**
   * Gives the lease up, and does not ask for it again for a whole lease: what another holder did
   * meanwhile is then older than any lease. Returns what is due to all voters.
   */
  Optional<Round> releaseAndPause(long now) {
    Optional<Round> release = relinquish();
    nextRoundAtMs = now + LeaseVoter.LEASE_DURATION_MS + rankDelayMs;
    return release;
  }

  /** Gives the lease up for good; returns what is due to all voters. */
  Optional<Round> relinquish() {
    heldUntilMs = Long.MIN_VALUE;
    roundWon = true;
    voterCount = 0;
    nextRoundAtMs = Long.MAX_VALUE;
    return round == 0 ? Optional.empty() : Optional.of(new Round(round, Round.Kind.RELEASE));
  }
}
