package willowdoor.policy;

import willowdoor.policy.GatewayApi.*;

/**
 * Limits the share of requests that call the counter, with additive increase and multiplicative
 * decrease by the outcomes of the calls, as in TCP.
 */
final class CounterThrottle {
  /**
   * Consecutive failed calls after which the counter counts as down; fewer may be a lost packet.
   */
  private static final int DOWN_AFTER_FAILURES = 4;

  /**
   * Minimum interval between probe calls while the counter is down: of one gateway, and of all
   * gateways together.
   */
  private static final double PROBE_INTERVAL_MS = 250, FLEET_PROBE_INTERVAL_MS = 5;

  /**
   * Multiplicative decrease and additive increase of the share of requests that call, as in TCP.
   */
  private static final double DECREASE = 0.7, INCREASE = 0.02, MIN_CALL_SHARE = 0.02;

  /**
   * Increase for each second between answers, so that gateways with few calls recover as quickly as
   * others.
   */
  private static final double INCREASE_PER_S = 0.05;

  /**
   * Share of requests that call a counter that has just recovered, so that all gateways together do
   * not overload it.
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
   * Whether a request may call the counter. If calls fail for any cause, such as a slow,
   * overloaded, unresponsive or refusing counter, fewer requests call it, down to spaced probes.
   * Cost: if fewer calls do not remove the cause, customers are limited by the replica for longer
   * than necessary.
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
    } // the answer was invalid but in time, so the counter is not overloaded
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
   * Time of the next probe. The rate of probes from all gateways together is bounded and randomly
   * spread; each gateway still probes within seconds.
   */
  private double nextProbeTime() {
    double spacing = Math.max(PROBE_INTERVAL_MS, FLEET_PROBE_INTERVAL_MS * ctx.settings.gateways());
    return ctx.now + spacing * (0.75 + 0.5 * ctx.random.nextDouble());
  }
}
