package elmsail.runtime;

import java.util.Arrays;

/**
 * A histogram of durations in ms with fixed bucket bounds. An observation allocates nothing; memory
 * is two numbers for each bound. Confined to the event loop.
 */
public final class Histogram {

  /** Bounds that suit a disk's sync and the delay of an event loop. */
  private static final long[] DEFAULT_BOUNDS_MS = {
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000
  };

  private final long[] boundsMs;

  /** One bucket for each bound, and one for observations above all bounds. */
  private final long[] counts;

  /** The counts at the last {@link #takeRecent()}. */
  private final long[] countsAtLastTake;

  private long sumMs;
  private long count;
  private long recentMaxMs;

  /**
   * An empty histogram.
   *
   * @param boundsMs upper bounds of the buckets, inclusive and ascending
   */
  Histogram(long... boundsMs) {
    this.boundsMs = boundsMs.clone();
    for (int i = 1; i < boundsMs.length; i++) {
      if (boundsMs[i] <= boundsMs[i - 1]) {
        throw new IllegalArgumentException("bounds do not ascend: " + Arrays.toString(boundsMs));
      }
    }
    counts = new long[boundsMs.length + 1];
    countsAtLastTake = new long[counts.length];
  }

  static Histogram withDefaultBounds() {
    return new Histogram(DEFAULT_BOUNDS_MS);
  }

  /** Counts one duration; a negative one counts as 0. */
  public void observe(long ms) {
    long duration = Math.max(0, ms);
    int bucket = 0;
    while (bucket < boundsMs.length && duration > boundsMs[bucket]) {
      bucket++;
    }
    counts[bucket]++;
    count++;
    sumMs += duration;
    recentMaxMs = Math.max(recentMaxMs, duration);
  }

  /** The number of observations since the start. */
  public long count() {
    return count;
  }

  /** The sum of all durations in ms. */
  public long sumMs() {
    return sumMs;
  }

  /** The number of bounds. */
  int boundCount() {
    return boundsMs.length;
  }

  /** The upper bound of a bucket, in ms. */
  long boundMs(int bucket) {
    return boundsMs[bucket];
  }

  /** The number of observations up to and including the bound of that bucket. */
  long cumulativeCount(int bucket) {
    long below = 0;
    for (int i = 0; i <= bucket; i++) {
      below += counts[i];
    }
    return below;
  }

  /**
   * The observations between two calls of {@link #takeRecent()}.
   *
   * @param p50Ms upper bound of the bucket of the median, or the maximum if that is smaller
   * @param p99Ms likewise of the 99th percentile
   */
  record Recent(long count, long p50Ms, long p99Ms, long maxMs) {}

  /** The observations since the last call; the next call begins anew. */
  Recent takeRecent() {
    long[] recent = new long[counts.length];
    long total = 0;
    for (int i = 0; i < counts.length; i++) {
      recent[i] = counts[i] - countsAtLastTake[i];
      total += recent[i];
    }
    System.arraycopy(counts, 0, countsAtLastTake, 0, counts.length);
    long max = recentMaxMs;
    recentMaxMs = 0;
    return new Recent(
        total, quantile(recent, total, 50, max), quantile(recent, total, 99, max), max);
  }

  private long quantile(long[] recent, long total, int percent, long max) {
    long rank = (total * percent + 99) / 100;
    long below = 0;
    for (int i = 0; i < boundsMs.length; i++) {
      below += recent[i];
      if (below >= rank) {
        return Math.min(boundsMs[i], max);
      }
    }
    return max;
  }
}
