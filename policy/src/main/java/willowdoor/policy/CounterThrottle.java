package willowdoor.policy;

import willowdoor.policy.GatewayApi.*;

/** How many of the requests may call the counter, as in TCP by how its answers come. */
final class CounterThrottle {
  /** Calls failing in a row before the counter is taken to be away; fewer is a lost packet. */
  private static final int DOWN_AFTER_FAILURES = 4;

  /**
   * Least spacing of trial calls while the counter is away: of a gateway's, and of the whole
   * fleet's.
   */
  private static final double PROBE_INTERVAL_MS = 250, FLEET_PROBE_INTERVAL_MS = 5;

  /**
   * Multiplicative decrease and additive increase of the share of requests that call, as in TCP.
   */
  private static final double DECREASE = 0.7, INCREASE = 0.02, MIN_CALL_SHARE = 0.02;

  /**
   * Increase for each second between answers, so that gateways with few calls recover as soon as
   * others.
   */
  private static final double INCREASE_PER_S = 0.05;

  /**
   * Where calling resumes when an absent counter is back, so that all gateways together do not
   * flood it.
   */
  private static final double RECOVERY_CALL_SHARE = 0.3;

  private final Context ctx;
  double callShare = 1;
  private double decreasedAt = Double.NEGATIVE_INFINITY,
      nextProbeAt = Double.NEGATIVE_INFINITY,
      lastAnswerAt;
  private int consecutiveFailures;

  CounterThrottle(Context ctx) {
    this.ctx = ctx;
  }

  /**
   * Whether to call the counter. Guards against a slow, full, silent or refusing counter, and any
   * other cause of unanswered calls: fewer call, and spaced trials remain. Harm: where calls fail
   * for a cause that calling less does not help, customers are held to the replica for longer than
   * needed.
   */
  boolean mayCall() {
    if (consecutiveFailures < DOWN_AFTER_FAILURES) {
      return ctx.random.nextDouble() < callShare;
    }
    boolean due = ctx.now >= nextProbeAt;
    nextProbeAt = due ? nextProbeTime() : nextProbeAt;
    return due;
  }

  void onResult(Status status) {
    ctx.stats.counterCalls[status.ordinal()]++;
    boolean ok = status == Status.OK, down = consecutiveFailures >= DOWN_AFTER_FAILURES;
    boolean due = ctx.now - decreasedAt > ctx.settings.options().counterTimeoutMs();
    consecutiveFailures = ok ? 0 : consecutiveFailures + 1;
    nextProbeAt = consecutiveFailures == DOWN_AFTER_FAILURES ? nextProbeTime() : nextProbeAt;
    if (status == Status.RESET) {
      return;
    } // broken, but in time: tells of no load that fewer calls relieve
    if (!ok) {
      callShare *= due ? DECREASE : 1;
      decreasedAt = due ? ctx.now : decreasedAt;
    } else {
      callShare =
          down
              ? RECOVERY_CALL_SHARE
              : callShare
                  + (INCREASE + INCREASE_PER_S * Math.min(1, (ctx.now - lastAnswerAt) / 1000));
      lastAnswerAt = ctx.now;
    }
    callShare = Math.min(1, Math.max(MIN_CALL_SHARE, callShare));
  }

  /**
   * Trials of the whole fleet are bounded, and spread by chance; each gateway's come within
   * seconds.
   */
  private double nextProbeTime() {
    double spacing = Math.max(PROBE_INTERVAL_MS, FLEET_PROBE_INTERVAL_MS * ctx.settings.gateways());
    return ctx.now + spacing * (0.75 + 0.5 * ctx.random.nextDouble());
  }
}
