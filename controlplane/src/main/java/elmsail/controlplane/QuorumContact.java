package elmsail.controlplane;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Timers;

/**
 * How long ago this process was last in contact with a majority of the voters, as the steady clock
 * tells at the moment of the question. A round counts from when it was sent, so an answer that was
 * held up, by the network or while the process was frozen, proves nothing about the present.
 */
final class QuorumContact {
  /**
   * Contact older than this is none. Well above a read's period (300 ms) and timeout (600 ms)
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

  /** A majority has answered a round that was sent at that steady time. */
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

  /** Whether a majority has answered a round that was sent within {@link #MAX_AGE_MS}. */
  boolean isCurrent() {
    return isWithin(MAX_AGE_MS);
  }

  /** Whether a majority has answered a round that was sent within so many ms. */
  boolean isWithin(long maxAgeMs) {
    return lastRoundSentAtMs != NEVER && timers.now() - lastRoundSentAtMs <= maxAgeMs;
  }

  /** For how many ms contact has been current without a break; -1 if it is not current now. */
  long unbrokenMs() {
    return isCurrent() ? timers.now() - unbrokenSinceMs : -1;
  }

  /**
   * Passes an answer on if contact is current.
   *
   * @throws ElmsailException NOT_SEATED if it is not: the asker goes to another process
   */
  <A> A requireCurrent(A response) {
    if (!isCurrent()) {
      throw new ElmsailException(ErrorCode.NOT_A_VOTER, "no contact with a majority");
    }
    return response;
  }
}
