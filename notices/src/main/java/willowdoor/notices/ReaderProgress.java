package willowdoor.notices;

import java.util.Arrays;

/**
 * How one reader keeps pace with its group. Slow is told relative to the group, with hysteresis, so
 * a burst, by which all lag, counts against nobody.
 */
final class ReaderProgress {
  private static final long SLOW_HOLD_MS = 500;
  private static final long SLOW_LAG_MS = 400;
  private static final long KEEP_UP_LAG_MS = 200;
  private static final long KEEP_UP_BYTES = 4_096;

  /** Bytes a second under which a reader is not worth its socket. */
  private static final double STALLED_RATE = 16;

  private static final double RATE_HALF_LIFE_MS = 1_000;

  /** What a group's readers are like in the middle; of two, what the better one is like. */
  record Median(long lagMs, long lagBytes, double rate) {
    static Median of(long[] lagMs, long[] lagBytes, double[] rate) {
      Arrays.sort(lagMs);
      Arrays.sort(lagBytes);
      Arrays.sort(rate);
      int half = (lagMs.length - 1) / 2;
      return new Median(lagMs[half], lagBytes[half], rate[rate.length / 2]);
    }
  }

  private double rate;
  private boolean measured;
  private long taken;
  private long keepUpBytes;
  private long lastMs;
  private long behindSinceMs = -1;
  private long keepsUpSinceMs = -1;
  private long stalledSinceMs = -1;

  ReaderProgress(long nowMs) {
    lastMs = nowMs;
  }

  void recordTaken(long bytes) {
    taken += bytes;
  }

  /**
   * One look at the reader.
   *
   * @param waiting whether anything was under way to it or unread since the look before
   */
  void sample(boolean waiting, long lagMs, long nowMs) {
    double span = Math.max(1, nowMs - lastMs);
    if (waiting || taken > 0) {
      double now = taken * 1e3 / span;
      rate = measured ? rate + (now - rate) * (1 - Math.pow(0.5, span / RATE_HALF_LIFE_MS)) : now;
      measured = true;
    }
    stalledSinceMs =
        !waiting || rate >= STALLED_RATE ? -1 : stalledSinceMs < 0 ? nowMs : stalledSinceMs;
    if (lagMs > KEEP_UP_LAG_MS) {
      keepsUpSinceMs = -1;
    } else if (keepsUpSinceMs < 0) {
      keepsUpSinceMs = nowMs;
      keepUpBytes = 0;
    }
    keepUpBytes += taken;
    taken = 0;
    lastMs = nowMs;
  }

  /** Bytes a second while there was something to take. */
  double rate() {
    return rate;
  }

  /** Whether it is to leave its group. */
  boolean isSlow(long lagMs, long lagBytes, Median middle, int windowBytes, long nowMs) {
    if (lagBytes >= windowBytes / 2 && middle.lagBytes() < windowBytes / 8) {
      return true;
    }
    boolean behind = lagMs > SLOW_LAG_MS && lagMs > 4 * middle.lagMs() && rate < middle.rate() / 4;
    behindSinceMs = !behind ? -1 : behindSinceMs < 0 ? nowMs : behindSinceMs;
    return behind && nowMs - behindSinceMs >= SLOW_HOLD_MS;
  }

  /** Whether it has kept pace for so long, and had something to keep it with. */
  boolean keepsUp(long forMs, long nowMs) {
    return keepsUpSinceMs >= 0 && nowMs - keepsUpSinceMs >= forMs && keepUpBytes >= KEEP_UP_BYTES;
  }

  /** For how long it has taken next to nothing of what is under way to it, ms. */
  long stalledForMs(long nowMs) {
    return stalledSinceMs < 0 ? 0 : nowMs - stalledSinceMs;
  }

  /** A new group, a new judgement; the rate stays. */
  void startNewGroup() {
    behindSinceMs = -1;
    keepsUpSinceMs = -1;
  }
}
