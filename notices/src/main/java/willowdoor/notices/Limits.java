package willowdoor.notices;

/**
 * Bounds, in bytes and ms.
 *
 * @param retainBytes what a door keeps of one customer's notices
 * @param retainMs for how long
 * @param doorBytes what a door keeps in all
 * @param windowBytes a group's window: what its last reader may be behind its first
 * @param inflightBytes what is under way to one reader
 * @param linkBytes what is under way to one front door without being confirmed
 * @param regroup whether slow readers are looked for at all
 * @param settleMs for how long the view must have stood before a reader is moved
 * @param restMs the least time between a reader's moves; doubles with each, up to 16 times
 * @param keepPaceMs how long a reader keeps pace before it goes back
 * @param movesPerSecond of a front door, over all its readers
 */
public record Limits(
    int retainBytes,
    long retainMs,
    long doorBytes,
    int windowBytes,
    int inflightBytes,
    int linkBytes,
    boolean regroup,
    long settleMs,
    long restMs,
    long keepPaceMs,
    int movesPerSecond) {
  static final int MAX_BODY = 16 * 1024;
  static final int MAX_CUSTOMERS = 4_096;
  static final int MAX_PENDING = 1_024;
  static final long CONFIRM_MS = 2_000;
  static final long END_WAIT_MS = 3_000;
  static final long FETCH_MS = 2_000;

  /**
   * A stream on which nothing came for so long is closed by its door; others forget it after twice
   * that.
   */
  static final long IDLE_STREAM_MS = 6 * 3_600_000L;

  static final long HOPELESS_MS = 20_000;

  /** How often {@link NoticesDoor#tick} is to be called. */
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
        doorBytes,
        windowBytes,
        inflightBytes,
        linkBytes,
        on,
        settleMs,
        restMs,
        keepPaceMs,
        movesPerSecond);
  }

  Limits withRetained(int bytes, long ms) {
    return new Limits(
        bytes,
        ms,
        doorBytes,
        windowBytes,
        inflightBytes,
        linkBytes,
        regroup,
        settleMs,
        restMs,
        keepPaceMs,
        movesPerSecond);
  }
}
