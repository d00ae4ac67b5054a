package elmsail.config.watch;

import elmsail.runtime.MonotonicClock;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * The time of day on which the machines of the cluster agree: the steady clock plus an offset that
 * no single machine's clock determines. The sources are this machine and the control-plane nodes.
 * Each source reports its time of day, from which its offset follows. Until a majority of the
 * sources agrees, the offset in use is the median of the sources' offsets. From then on, small
 * differences from the median are corrected gradually. A larger difference is adopted only after a
 * majority has reported one for {@value #MIN_JUMP_MS} ms, so that temporary jumps of clocks have no
 * effect. Does no I/O; runs on the event loop.
 */
public final class ClusterClock implements MonotonicClock {
  /**
   * A source agrees if its offset differs from the median by at most this. Clocks of machines
   * differ by less, unless a clock has jumped.
   */
  static final long AGREEMENT_MS = 400;

  /** How long a majority must report a larger difference until it is adopted. */
  static final long MIN_JUMP_MS = 60_000;

  /** Samples older than this are discarded. */
  static final long MAX_SAMPLE_AGE_MS = 40_000;

  /** Each sample corrects a small difference by its quotient with this divisor. */
  private static final int SLEW_DIVISOR = 8;

  private record Sample(long offsetMs, long takenAtMs) {}

  private final MonotonicClock steadyClock;
  private final Map<String, Sample> samples = new HashMap<>();
  private long offsetMs;
  private boolean hasOffset;
  private boolean agreed;

  /**
   * When a majority began to report a larger difference, in ms of the steady clock; -1 if it does
   * not.
   */
  private long jumpSeenAtMs = -1;

  /** Creates a clock that has no time of day before the first sample. */
  public ClusterClock(MonotonicClock steadyClock) {
    this.steadyClock = steadyClock;
  }

  /**
   * Adds a sample of a source's clock, taken now.
   *
   * @param source the name of the source, whose earlier sample is replaced
   * @param wallClockMs the time of day that the source's clock shows now
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

  /**
   * Treats this machine's clock as agreed, because there is no other machine to compare it with.
   */
  void acceptOwnClock() {
    agreed = hasOffset;
  }

  /**
   * Whether the time is agreed: by a majority of two or more sources, or because this machine is
   * the only one. Before, the time is the median of the known sources.
   */
  public boolean isAgreed() {
    return agreed;
  }

  /** Whether there has been any sample; before the first, {@link #now()} is meaningless. */
  public boolean hasTime() {
    return hasOffset;
  }

  /** The time of day in ms since the start of 1970. */
  @Override
  public long now() {
    return steadyClock.now() + offsetMs;
  }
}
