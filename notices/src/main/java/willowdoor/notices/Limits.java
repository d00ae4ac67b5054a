package willowdoor.notices;

/**
 * Limits of the notices service, in bytes and milliseconds.
 *
 * @param retainBytes size of the notices that a front door retains for one customer
 * @param retainMs how long a front door retains a notice
 * @param totalBytes size of the notices that a front door retains for all customers
 * @param windowBytes a group's window: how far its slowest reader may be behind its fastest
 * @param inflightBytes bytes written to one reader that its socket has not taken yet
 * @param linkBytes bytes sent to one front door that it has not confirmed yet
 * @param regroup whether slow readers are detected and moved
 * @param settleMs how long the view must be unchanged before a reader is moved
 * @param moveIntervalMs minimum time between two moves of a reader; doubles with each move, up to
 *     16 times
 * @param keepUpMs how long a slow reader must keep up before it returns to its home front door
 * @param movesPerSecond moves that a front door orders, over all its readers
 */
public record Limits(
    int retainBytes,
    long retainMs,
    long totalBytes,
    int windowBytes,
    int inflightBytes,
    int linkBytes,
    boolean regroup,
    long settleMs,
    long moveIntervalMs,
    long keepUpMs,
    int movesPerSecond) {
  static final int MAX_BODY = 16 * 1024;
  static final int MAX_CUSTOMERS = 4_096;
  static final int MAX_PENDING = 1_024;
  static final long CONFIRM_MS = 2_000;
  static final long END_WAIT_MS = 3_000;
  static final long FETCH_MS = 2_000;

  /**
   * Idle time after which the front door that owns a stream closes it. Other front doors forget the
   * stream after twice this time.
   */
  static final long IDLE_STREAM_MS = 6 * 3_600_000L;

  static final long STALLED_MS = 20_000;

  /** Interval at which {@link NoticesService#tick} must be called. */
  public static final long TICK_MS = 100;

  public static Limits standard() {
    return new Limits(
        1 << 20,
        60_000,
        64L << 20,
        64 * 1024,
        16 * 1024,
        256 * 1024,
        true,
        2_000,
        10_000,
        10_000,
        20);
  }

  Limits withRegroup(boolean on) {
    return new Limits(
        retainBytes,
        retainMs,
        totalBytes,
        windowBytes,
        inflightBytes,
        linkBytes,
        on,
        settleMs,
        moveIntervalMs,
        keepUpMs,
        movesPerSecond);
  }

  Limits withRetained(int bytes, long ms) {
    return new Limits(
        bytes,
        ms,
        totalBytes,
        windowBytes,
        inflightBytes,
        linkBytes,
        regroup,
        settleMs,
        moveIntervalMs,
        keepUpMs,
        movesPerSecond);
  }
}
