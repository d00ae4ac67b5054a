package elmsail.soak;

/**
 * The bounds that the processes are told in their settings and that the invariants hold them to.
 */
final class Bounds {
  static final long IN_TOUCH_MS = 3_000;
  static final long ACK_MS = 4_000;
  static final long IN_FORCE_MS = 2_000;
  static final long CANCEL_MS = 3_000;
  static final long SETTLE_MS = 1_000;
  static final double QUOTA_OVER = 0.1;
  static final double CATCH_UP_S = 4.9;

  /** From the last trouble's end to the last result of an accepted job; {@code finish_s} twice. */
  static final long QUIET_MS = 20_000;

  /** Within that a job of exactly what may wait is accepted once all is quiet. */
  static final long EXACT_FIT_MS = 6_000;

  private Bounds() {}
}
