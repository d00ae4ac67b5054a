package elmsail.config.watch;

import elmsail.runtime.MonotonicClock;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * The time of day on which the machines of the cluster agree: the steady clock, plus an offset to
 * which no single machine's clock is decisive. Each source, this machine and the control-plane
 * nodes, says what it takes the offset to be; the offset is their median once most of them agree.
 * From then on it only follows small differences. A larger one is taken over when most sources have
 * said the same for {@value #MIN_JUMP_MS} ms, so that clocks that jump for a while move nothing.
 * Pure; runs on the event loop.
 */
public final class ClusterClock implements MonotonicClock {
  /** Clocks of machines differ by less, unless one has jumped. */
  static final long AGREEMENT_MS = 400;

  /** A jump that most sources report for so long stays. */
  static final long MIN_JUMP_MS = 60_000;

  /** What a source said longer ago does not count. */
  static final long MAX_SAMPLE_AGE_MS = 40_000;

  /** The part of a small difference that each sample takes away. */
  private static final int SLEW_DIVISOR = 8;

  private record Sample(long offsetMs, long takenAtMs) {}

  private final MonotonicClock steadyClock;
  private final Map<String, Sample> samples = new HashMap<>();
  private long offsetMs;
  private boolean hasOffset;
  private boolean agreed;

  /** Since when most sources report another offset; -1 if they do not. */
  private long jumpSeenAtMs = -1;

  /** Creates one that knows of no time of day. */
  public ClusterClock(MonotonicClock steadyClock) {
    this.steadyClock = steadyClock;
  }

  /**
   * Takes what a source says now.
   *
   * @param source names it; its earlier samples are replaced
   * @param wallClockMs its time of day at this moment
   */
  public void onSample(String source, long wallClockMs) {
    long now = steadyClock.now();
    samples.put(source, new Sample(wallClockMs - now, now));
    samples.values().removeIf(sample -> now - sample.takenAtMs > MAX_SAMPLE_AGE_MS);
    long[] offsets = samples.values().stream().mapToLong(Sample::offsetMs).sorted().toArray();
    long median = offsets[(offsets.length - 1) / 2];
    long agreeingSources =
        Arrays.stream(offsets).filter(each -> Math.abs(each - median) <= AGREEMENT_MS).count();
    boolean isMajority = agreeingSources * 2 > offsets.length;
    if (!agreed) {
      offsetMs = median;
      hasOffset = true;
      agreed = offsets.length > 1 && isMajority;
    } else {
      adjustOffset(median, isMajority, now);
    }
  }

  private void adjustOffset(long median, boolean isMajority, long now) {
    long difference = median - offsetMs;
    if (!isMajority || Math.abs(difference) <= AGREEMENT_MS) {
      jumpSeenAtMs = -1;
      offsetMs += isMajority ? difference / SLEW_DIVISOR : 0;
    } else if (jumpSeenAtMs < 0) {
      jumpSeenAtMs = now;
    } else if (now - jumpSeenAtMs >= MIN_JUMP_MS) {
      offsetMs = median;
      jumpSeenAtMs = -1;
    }
  }

  /** There is no other machine to agree with: what this one says holds. */
  void acceptOwnClock() {
    agreed = hasOffset;
  }

  /** Whether two sources or more have agreed; before, the time is that of the sources known. */
  public boolean isAgreed() {
    return agreed;
  }

  /** Whether any source has said anything; before, {@link #now()} is meaningless. */
  public boolean hasTime() {
    return hasOffset;
  }

  /** The time of day in ms since the start of 1970. */
  @Override
  public long now() {
    return steadyClock.now() + offsetMs;
  }
}
