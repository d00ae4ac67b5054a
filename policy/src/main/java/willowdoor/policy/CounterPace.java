package willowdoor.policy;

import willowdoor.policy.GatewayApi.*;

/** How many of the requests may call the counter, as in TCP by how its answers come. */
final class CounterPace {
  /** Calls failing in a row before the counter is taken to be away; fewer is a lost packet. */
  private static final int AWAY_AFTER = 4;

  /**
   * Least spacing of trial calls while the counter is away: of a gateway's, and of the whole
   * fleet's.
   */
  private static final double TRIAL_MS = 250, FLEET_TRIAL_MS = 5;

  /**
   * Multiplicative decrease and additive increase of the share of requests that call, as in TCP.
   */
  private static final double CUT = 0.7, STEP = 0.02, LEAST = 0.02;

  /**
   * Increase for each second between answers, so that gateways with few calls recover as soon as
   * others.
   */
  private static final double STEP_PER_S = 0.05;

  /**
   * Where calling resumes when an absent counter is back, so that all gateways together do not
   * flood it.
   */
  private static final double BACK = 0.3;

  private final Context ctx;
  double pace = 1;
  private double pacedAt = Double.NEGATIVE_INFINITY, trialAt = Double.NEGATIVE_INFINITY, answeredAt;
  private int failed;

  CounterPace(Context ctx) {
    this.ctx = ctx;
  }

  /**
   * Whether to call the counter. Guards against a slow, full, silent or refusing counter, and any
   * other cause of unanswered calls: fewer call, and spaced trials remain. Harm: where calls fail
   * for a cause that calling less does not help, customers are held to the replica for longer than
   * needed.
   */
  boolean mayCall() {
    if (failed < AWAY_AFTER) {
      return ctx.random.nextDouble() < pace;
    }
    boolean due = ctx.now >= trialAt;
    trialAt = due ? nextTrial() : trialAt;
    return due;
  }

  void judge(Status status) {
    ctx.figures.callEnds[status.ordinal()]++;
    boolean ok = status == Status.OK, away = failed >= AWAY_AFTER;
    boolean due = ctx.now - pacedAt > ctx.settings.allowed().countLimitMs();
    failed = ok ? 0 : failed + 1;
    trialAt = failed == AWAY_AFTER ? nextTrial() : trialAt;
    if (status == Status.RESET) {
      return;
    } // broken, but in time: tells of no load that fewer calls relieve
    if (!ok) {
      pace *= due ? CUT : 1;
      pacedAt = due ? ctx.now : pacedAt;
    } else {
      pace = away ? BACK : pace + (STEP + STEP_PER_S * Math.min(1, (ctx.now - answeredAt) / 1000));
      answeredAt = ctx.now;
    }
    pace = Math.min(1, Math.max(LEAST, pace));
  }

  /**
   * Trials of the whole fleet are bounded, and spread by chance; each gateway's come within
   * seconds.
   */
  private double nextTrial() {
    double spacing = Math.max(TRIAL_MS, FLEET_TRIAL_MS * ctx.settings.gateways());
    return ctx.now + spacing * (0.75 + 0.5 * ctx.random.nextDouble());
  }
}
