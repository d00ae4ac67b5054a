package elmsail.controlplane;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Timers;

/**
 * How long ago this process was last in contact with a majority of the voters, by the monotonic
 * clock at the moment of the question. A round counts from when it was sent, so a response that was
 * delayed, by the network or while the process was frozen, proves nothing about the present. Runs
 * on the event loop.
 */
final class QuorumContact {
  /**
   * Older contact does not count. Well above a read's period (300 ms) and timeout (600 ms)
   * together, so that one failed read changes nothing; below {@code in_touch_ms} (3,000 ms).
   */
  static final long MAX_AGE_MS = 1_500;

  private static final long NEVER = Long.MIN_VALUE;

  private final Timers timers;
  private long lastRoundSentAtMs = NEVER;
  private long unbrokenSinceMs = NEVER;

  QuorumContact(Timers timers) {
    this.timers = timers;
  }

  /** A majority has responded to a round that was sent at that time of the monotonic clock. */
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

  /** Whether a majority has responded to a round sent within so many ms before now. */
  boolean isWithin(long maxAgeMs) {
    return lastRoundSentAtMs != NEVER && timers.now() - lastRoundSentAtMs <= maxAgeMs;
  }

  /** The time since the last round that a majority responded to was sent; -1 before the first. */
  long ageMs() {
    return lastRoundSentAtMs == NEVER ? -1 : timers.now() - lastRoundSentAtMs;
  }

  /** For how many ms contact has been current without interruption; -1 if it is not current. */
  long unbrokenMs() {
    return isCurrent() ? timers.now() - unbrokenSinceMs : -1;
  }

  /**
   * Returns the response if contact is current.
   *
   * @throws ElmsailException NOT_A_VOTER if it is not: the caller tries another process
   */
  <A> A requireCurrent(A response) {
    if (!isCurrent()) {
      throw new ElmsailException(ErrorCode.NOT_A_VOTER, "no contact with a majority");
    }
    return response;
  }
}
