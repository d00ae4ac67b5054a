package willowdoor.notices;

import java.util.Arrays;

/**
 * How one reader keeps pace with its group. Slow is told relative to the group, with hysteresis, so
 * a burst, by which all lag, counts against nobody.
 */
final class Pace {
  private static final long HOLD_MS = 500;
  private static final long LAG_MS = 400;
  private static final long KEEPS_MS = 200;
  private static final long KEEPS_BYTES = 4_096;

  /** Bytes a second under which a reader is not worth its socket. */
  private static final double HOPELESS_RATE = 16;

  private static final double RATE_HALF_LIFE_MS = 1_000;

  /** What a group's readers are like in the middle; of two, what the better one is like. */
  record Middle(long lagMs, long lagBytes, double rate) {
    static Middle of(long[] lagMs, long[] lagBytes, double[] rate) {
      Arrays.sort(lagMs);
      Arrays.sort(lagBytes);
      Arrays.sort(rate);
      int half = (lagMs.length - 1) / 2;
      return new Middle(lagMs[half], lagBytes[half], rate[rate.length / 2]);
    }
  }

  private double rate;
  private boolean measured;
  private long taken;
  private long keptBytes;
  private long lastMs;
  private long behindMs = -1;
  private long keepsMs = -1;
  private long hopelessMs = -1;

  Pace(long nowMs) {
    lastMs = nowMs;
  }

  void took(long bytes) {
    taken += bytes;
  }

  /**
   * One look at the reader.
   *
   * @param waiting whether anything was under way to it or unread since the look before
   */
  void look(boolean waiting, long lagMs, long nowMs) {
    double span = Math.max(1, nowMs - lastMs);
    if (waiting || taken > 0) {
      double now = taken * 1e3 / span;
      rate = measured ? rate + (now - rate) * (1 - Math.pow(0.5, span / RATE_HALF_LIFE_MS)) : now;
      measured = true;
    }
    hopelessMs = !waiting || rate >= HOPELESS_RATE ? -1 : hopelessMs < 0 ? nowMs : hopelessMs;
    if (lagMs > KEEPS_MS) {
      keepsMs = -1;
    } else if (keepsMs < 0) {
      keepsMs = nowMs;
      keptBytes = 0;
    }
    keptBytes += taken;
    taken = 0;
    lastMs = nowMs;
  }

  /** Bytes a second while there was something to take. */
  double rate() {
    return rate;
  }

  /** Whether it is to leave its group. */
  boolean slow(long lagMs, long lagBytes, Middle middle, int windowBytes, long nowMs) {
    if (lagBytes >= windowBytes / 2 && middle.lagBytes() < windowBytes / 8) {
      return true;
    }
    boolean behind = lagMs > LAG_MS && lagMs > 4 * middle.lagMs() && rate < middle.rate() / 4;
    behindMs = !behind ? -1 : behindMs < 0 ? nowMs : behindMs;
    return behind && nowMs - behindMs >= HOLD_MS;
  }

  /** Whether it has kept pace for so long, and had something to keep it with. */
  boolean keeps(long forMs, long nowMs) {
    return keepsMs >= 0 && nowMs - keepsMs >= forMs && keptBytes >= KEEPS_BYTES;
  }

  /** For how long it has taken next to nothing of what is under way to it, ms. */
  long hopelessFor(long nowMs) {
    return hopelessMs < 0 ? 0 : nowMs - hopelessMs;
  }

  /** A new group, a new judgement; the rate stays. */
  void fresh() {
    behindMs = -1;
    keepsMs = -1;
  }
}
