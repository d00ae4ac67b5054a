package elmsail.controlplane;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Timers;

/**
 * Tracks how long ago this process was last in contact with a majority of the voters, by the
 * monotonic clock. A round counts from the time at which it was sent, so a response that was
 * delayed by the network or by a freeze of this process does not count as current contact. Runs on
 * the event loop.
 */
final class QuorumContact {
  /**
   * Maximum age of current contact. Well above the sum of a read's interval (300 ms) and timeout
   * (600 ms), so that one failed read does not interrupt contact; below {@code in_touch_ms} (3,000
   * ms).
   */
  static final long MAX_AGE_MS = 1_500;

  private static final long NEVER = Long.MIN_VALUE;

  private final Timers timers;
  private long lastRoundSentAtMs = NEVER;
  private long unbrokenSinceMs = NEVER;

  QuorumContact(Timers timers) {
    this.timers = timers;
  }

  /**
   * Records that a majority responded to a round that was sent at that time of the monotonic clock.
   */
  void onRoundCompleted(long roundSentAtMs) {
    if (roundSentAtMs <= lastRoundSentAtMs) {
      return;
    }
    boolean wasLapsed = !isCurrent();
    lastRoundSentAtMs = roundSentAtMs;
    if (wasLapsed) {
      unbrokenSinceMs = timers.now();
    }
  }

  /** Whether a majority has responded to a round sent within the last {@value #MAX_AGE_MS} ms. */
  boolean isCurrent() {
    return isWithin(MAX_AGE_MS);
  }

  /** Whether a majority has responded to a round sent within the last {@code maxAgeMs} ms. */
  boolean isWithin(long maxAgeMs) {
    return lastRoundSentAtMs != NEVER && timers.now() - lastRoundSentAtMs <= maxAgeMs;
  }

  /**
   * Time in ms since the last round with a majority of responses was sent; -1 before the first such
   * round.
   */
  long ageMs() {
    return lastRoundSentAtMs == NEVER ? -1 : timers.now() - lastRoundSentAtMs;
  }

  /**
   * Time in ms for which contact has been current without interruption; -1 if contact is not
   * current.
   */
  long unbrokenMs() {
    return isCurrent() ? timers.now() - unbrokenSinceMs : -1;
  }

  /**
   * Returns the response if contact is current.
   *
   * @throws ElmsailException NOT_A_VOTER if contact is not current, so that the caller tries
   *     another process
   */
  <A> A requireCurrent(A response) {
    if (!isCurrent()) {
      throw new ElmsailException(ErrorCode.NOT_A_VOTER, "no contact with a majority");
    }
    return response;
  }
}
