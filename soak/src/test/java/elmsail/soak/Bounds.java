package elmsail.soak;

/** The bounds that the processes have in their settings and that the invariants are checked by. */
final class Bounds {
  static final long IN_TOUCH_MS = 3_000;
  static final long ACK_MS = 4_000;
  static final long IN_FORCE_MS = 2_000;
  static final long CANCEL_MS = 3_000;
  static final long SETTLE_MS = 1_000;
  static final double QUOTA_OVER = 0.1;
  static final double CATCH_UP_S = 4.9;

  /** From the last fault's end to the last result of an accepted job: twice {@code finish_s}. */
  static final long QUIET_MS = 20_000;

  /** Within this time after the load, a job of exactly the limit is accepted. */
  static final long EXACT_FIT_MS = 6_000;

  /**
   * From the last fault's end: by then a record that one store alone has was committed again, taken
   * over and run.
   */
  static final long REPAIR_MS = 14_000;

  private Bounds() {}
}
