package elmsail.controlplane;

import java.util.Optional;

/**
 * The candidate's and holder's side of a lease that a majority of voters grants. When a majority
 * grants a round, the lease is held from the time at which the round was sent, for the lease
 * duration minus a safety margin. The monotonic clock is checked at each use of the lease, so that
 * a process that was frozen detects that its lease has expired. Times are in ms of the monotonic
 * clock. Does no I/O: the caller sends the rounds. Runs on the event loop.
 */
final class Lease {
  /**
   * A message to be sent to all voters.
   *
   * @param number of the round, rising from 1
   * @param kind whether the round requests the lease or releases the grants of the round
   */
  record Round(long number, Kind kind) {
    enum Kind {
      REQUEST,
      RELEASE
    }
  }

  static final long RENEW_INTERVAL_MS = 600;
  static final long SAFETY_MARGIN_MS = 200;

  /**
   * A round without a majority after this time is released, so that its grants do not block other
   * candidates.
   */
  private static final long ROUND_TIMEOUT_MS = 250;

  /** Delay after a released round; the delay by rank is added. */
  private static final long RETRY_DELAY_MS = 100;

  /**
   * Delay per rank before a candidate's requests, so that the candidate with the lowest rank
   * usually wins.
   */
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
   * Creates a lease that is not held.
   *
   * @param startedAtMs the present time
   * @param rank of this process among the candidates; rank 0 sends the first request
   */
  Lease(long startedAtMs, int rank) {
    this.rankDelayMs = Math.max(0, rank) * DELAY_PER_RANK_MS;
    this.nextRoundAtMs = startedAtMs + rankDelayMs;
  }

  /** Whether the lease is held at that time. */
  boolean isHeld(long now) {
    return now < heldUntilMs;
  }

  /**
   * Returns the message to send to all voters now: a new round, the release of the last round, or
   * nothing.
   */
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
   * @return whether this grant made the lease held
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
   * Records that another candidate holds a voter's grant for the remaining time, which delays the
   * next round.
   */
  void onRefused(long responseRound, long remainingMs) {
    if (responseRound == round) {
      otherHolderRemainingMs = Math.max(otherHolderRemainingMs, remainingMs);
    }
  }

  /**
   * Releases the lease and sends no new request for a whole lease duration, so that this process
   * and another holder do not alternate within that time. Returns the message to send to all
   * voters.
   */
  Optional<Round> releaseAndPause(long now) {
    Optional<Round> release = relinquish();
    nextRoundAtMs = now + LeaseVoter.LEASE_DURATION_MS + rankDelayMs;
    return release;
  }

  /** Releases the lease permanently; returns the message to send to all voters. */
  Optional<Round> relinquish() {
    heldUntilMs = Long.MIN_VALUE;
    roundWon = true;
    voterCount = 0;
    nextRoundAtMs = Long.MAX_VALUE;
    return round == 0 ? Optional.empty() : Optional.of(new Round(round, Round.Kind.RELEASE));
  }
}
