package willowdoor.notices;

import java.util.Arrays;

/**
 * Tracks how a reader keeps up with its group. Slowness is relative to the group and has
 * hysteresis, so a burst that makes all readers lag marks none of them slow.
 */
final class ReaderProgress {
  private static final long SLOW_HOLD_MS = 500;
  private static final long SLOW_LAG_MS = 400;
  private static final long KEEP_UP_LAG_MS = 200;
  private static final long KEEP_UP_BYTES = 4_096;

  /** Rate in bytes per second below which a reader counts as stalled and is disconnected. */
  private static final double STALLED_RATE = 16;

  private static final double RATE_HALF_LIFE_MS = 1_000;

  /**
   * Median lag and rate of a group's readers; of two readers, the lower lag and the higher rate.
   */
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
   * Samples the reader.
   *
   * @param waiting whether any bytes were in flight to the reader since the previous sample
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

  /** Returns the bytes per second taken while there was something to take. */
  double rate() {
    return rate;
  }

  /** Returns whether the reader must leave its group. */
  boolean isSlow(long lagMs, long lagBytes, Median middle, int windowBytes, long nowMs) {
    if (lagBytes >= windowBytes / 2 && middle.lagBytes() < windowBytes / 8) {
      return true;
    }
    boolean behind = lagMs > SLOW_LAG_MS && lagMs > 4 * middle.lagMs() && rate < middle.rate() / 4;
    behindSinceMs = !behind ? -1 : behindSinceMs < 0 ? nowMs : behindSinceMs;
    return behind && nowMs - behindSinceMs >= SLOW_HOLD_MS;
  }

  /** Returns whether the reader has kept up for that long and took enough bytes to show it. */
  boolean keepsUp(long forMs, long nowMs) {
    return keepsUpSinceMs >= 0 && nowMs - keepsUpSinceMs >= forMs && keepUpBytes >= KEEP_UP_BYTES;
  }

  /** Returns for how many ms the reader has taken next to nothing of the bytes in flight to it. */
  long stalledForMs(long nowMs) {
    return stalledSinceMs < 0 ? 0 : nowMs - stalledSinceMs;
  }

  /** Restarts the comparison for a new group; the measured rate stays. */
  void startNewGroup() {
    behindSinceMs = -1;
    keepsUpSinceMs = -1;
  }
}
