package willowdoor.policy;

import willowdoor.policy.GatewayApi.Plan;

/**
 * This gateway's view of one customer: a replica of the token bucket of its plan, kept up to date
 * by the totals of the shared counter.
 */
final class CustomerQuota {
  /**
   * Longest window of a shared count. It spans many refills of a usual quota, so window changes are
   * rare.
   */
  private static final double MAX_WINDOW_MS = 25_000;

  /**
   * Up to this many gateways per customer, each gateway gets enough of the customer's requests to
   * track its bucket for {@link #MAX_WINDOW_MS}.
   */
  private static final double REPLICA_MAX_GATEWAYS = 3;

  /**
   * Assumed use of a new customer as a share of its rate; most customers stay well below their
   * rate.
   */
  private static final double INITIAL_UTILIZATION = 0.5;

  /**
   * Window of a count from whose total the bucket level is derived. The window is shorter than the
   * lifetime of a count, so the previous count is still readable when a new window begins.
   */
  private static final double TOTALS_WINDOW_MS = 45_000;

  /**
   * A level derived from totals refills faster than the rate by this share, because some counted
   * units were never used.
   */
  private static final double EXTRA_REFILL = 0.06;

  /**
   * Factors by which {@link #callShare} is multiplied after a confirmed refusal and after a
   * confirmed admission; with them, about nine in ten calls admit a request.
   */
  private static final double CALL_SHARE_DECREASE = 0.5, CALL_SHARE_INCREASE = 1.1;

  /**
   * Interval at which an exhausted customer is checked at the counter again, because other gateways
   * may have returned units.
   */
  private static final double EXHAUSTED_RECHECK_MS = 400;

  /** Averaging time of a customer's rates of use: longer than a burst, a few refills. */
  static final double RATE_AVERAGING_MS = 5_000;

  /**
   * How long the last observed use of a rarely seen customer is assumed to continue; heavy use
   * tends to last.
   */
  private static final double USAGE_PERSISTENCE_MS = 15_000;

  private final Context ctx;
  private final long customer;
  final Plan plan;

  /** Share of the plan's requests that recent counter answers admitted. */
  private final MovingAverage admittedShare;

  /** Number of gateways through which the customer's requests may come. */
  private final int gateways;

  /** Offset and length of the windows of this customer's counts. */
  private final double windowOffsetMs, windowMs;

  /**
   * Whether the level is derived from totals, because this gateway gets too few requests of the
   * customer to track its bucket.
   */
  final boolean usesTotals;

  /** Estimated units in the bucket, and the time of the estimate. */
  double level, levelUpdatedAt;

  /** Units that other gateways are assumed to have used since the last answer. */
  private double assumedOthersUnits;

  /** Rates of use in units per second, and this gateway's units since the last answer. */
  private double othersRate, ownRate, ownUnitsSinceSync;

  double syncedAt = Double.NaN;

  /**
   * Units to include in the next add, units of unanswered calls that may have been added, and units
   * of open calls.
   */
  double unreportedUnits, uncertainUnits, inFlightUnits;

  /** Window of the last answer. */
  long lastWindow = Long.MIN_VALUE;

  /** Total of the last answer. */
  double lastTotal;

  /**
   * Units left of the ceiling: of the part shared by all confirmed sends, and of this gateway's own
   * part.
   */
  private double sharedCeiling, ownCeiling;

  /** Units that other gateways added recently, decayed over the mean duration of an attempt. */
  private double othersRecentUnits;

  /** Share of the customer's requests that call the counter, by the last answers. */
  private double callShare = 1;

  /**
   * Units left of this gateway's even part of the quota, which it may send without confirmation.
   */
  private double unconfirmedAllowance;

  int openAttempts;

  CustomerQuota(
      Context ctx, long customer, Plan plan, MovingAverage admittedShare, int entryPoints) {
    this.ctx = ctx;
    this.admittedShare = admittedShare;
    this.customer = customer;
    this.plan = plan;
    gateways = Math.max(1, Math.min(entryPoints, ctx.settings.gateways()));
    levelUpdatedAt = ctx.now;
    double refillMs = plan.rate() > 0 ? 1000 * plan.burst() / plan.rate() : 0;
    double maxReplicaWindowMs =
        plan.ceilingRate() > 0 ? MAX_WINDOW_MS : MAX_WINDOW_MS * REPLICA_MAX_GATEWAYS / gateways;
    double replicaWindowMs = Math.max(refillMs, Math.min(MAX_WINDOW_MS, maxReplicaWindowMs));
    boolean rarelySeen = gateways > REPLICA_MAX_GATEWAYS + 1 || replicaWindowMs < 2 * refillMs;
    usesTotals = rarelySeen && refillMs > 0 && plan.ceilingRate() <= 0 && usesSharedCounter();
    windowMs = usesTotals ? TOTALS_WINDOW_MS : replicaWindowMs;
    windowOffsetMs =
        Math.floorMod(
            customer * 0x9E3779B97F4A7C15L, (long) (usesTotals ? windowMs : MAX_WINDOW_MS));
    level = capacity();
    refillCeiling((ctx.now - ctx.startedAt) / 1000);
    unconfirmedAllowance = ctx.random.nextDouble() * ctx.settings.maxUnits();
    othersRate = plan.rate() * (usesTotals ? INITIAL_UTILIZATION : 1 - 1.0 / gateways);
  }

  boolean usesSharedCounter() {
    return ctx.settings.options().sharedCounter();
  }

  private double capacity() {
    return usesSharedCounter() ? plan.burst() : plan.burst() / gateways;
  }

  long currentWindow() {
    return (long) Math.floor((ctx.now + windowOffsetMs) / windowMs);
  }

  double windowStart(long window) {
    return window * windowMs - windowOffsetMs;
  }

  String counterName(long window) {
    return Long.toString(customer, 36) + ":" + window;
  }

  /**
   * Whether this gateway has reached its part of the customer's limit on open requests. The part is
   * proportional to this gateway's share of the customer's recent use. While the shared count is
   * current, the part is at least the limit minus the estimated number of requests that are open at
   * other gateways. Fixed parts alone waste a limit that is small for the number of gateways.
   */
  boolean openLimitReached() {
    double ownPart = Math.max(1, Math.round(plan.maxOpen() * ownUseShare()));
    return plan.maxOpen() > 0
        && openAttempts
            >= (sharedCountIsCurrent()
                ? Math.max(ownPart, plan.maxOpen() - openAtOtherGateways())
                : ownPart);
  }

  /**
   * Whether the last answer is recent enough to include the requests that other gateways have open,
   * and backends respond in time. Requests that wait for an unresponsive backend were added long
   * before.
   */
  boolean sharedCountIsCurrent() {
    return ctx.now - syncedAt < ctx.load.attemptMs
        && ctx.load.expectedWaitShare(ctx.now) < LoadEstimate.MAX_WAIT_LOW_VALUE;
  }

  /**
   * Upper estimate of the requests open at other gateways, from the units they added to the shared
   * count within the duration of an attempt.
   */
  private double openAtOtherGateways() {
    double likely = decayedOthersUnits() / ctx.load.meanUnits;
    return likely + 2 * Math.sqrt(likely + 1);
  }

  private double decayedOthersUnits() {
    return othersRecentUnits * Math.exp((syncedAt - ctx.now) / ctx.load.attemptMs);
  }

  /**
   * This gateway's share of the customer's recent use; an even share before any use was observed.
   */
  private double ownUseShare() {
    double minRate = plan.rate() * 0.05;
    return plan.rate() <= 0
        ? 1.0 / gateways
        : (ownRate + minRate) / (ownRate + othersRate + minRate * gateways);
  }

  /**
   * Share of the ceiling that is split evenly into the gateways' own parts. With one or two
   * gateways the whole ceiling is split. With more gateways the share is 2 / gateways, or as much
   * more as each own part needs to cover one request of the maximum size.
   */
  private double ownCeilingShare() {
    return Math.min(
        1, Math.max(2.0 / gateways, gateways * ctx.settings.maxUnits() / plan.ceilingBurst()));
  }

  private void refillCeiling(double seconds) {
    double capacity = plan.ceilingBurst() + plan.ceilingSlack() / 2;
    sharedCeiling =
        Math.min(
            capacity * (1 - ownCeilingShare()),
            sharedCeiling + plan.ceilingRate() * (1 - ownCeilingShare()) * seconds);
    ownCeiling =
        Math.min(
            capacity * ownCeilingShare() / gateways,
            ownCeiling + plan.ceilingRate() * ownCeilingShare() / gateways * seconds);
  }

  /**
   * Refills the bucket up to the current time. Other gateways are assumed to keep their rate of
   * use, but this gateway keeps its own share of the refill.
   */
  void refill() {
    double seconds = (ctx.now - levelUpdatedAt) / 1000;
    levelUpdatedAt = ctx.now;
    if (seconds <= 0) {
      return;
    }
    unconfirmedAllowance =
        Math.min(
            Math.max(plan.burst() / gateways, ctx.settings.maxUnits()),
            unconfirmedAllowance + plan.rate() / gateways * seconds);
    double othersUseRate =
        usesSharedCounter() ? Math.min(othersRate, plan.rate() * (1 - ownUseShare())) : othersRate;
    double levelWithoutOthers = Math.min(capacity(), level + plan.rate() * seconds);
    level = Math.min(capacity(), level + (plan.rate() - othersUseRate) * seconds);
    assumedOthersUnits += levelWithoutOthers - level;
    refillCeiling(seconds);
  }

  /**
   * The bucket level that follows from the total of a window. The result is not limited to the
   * burst, so it is above the burst if the customer used less than its rate. The refill is faster
   * than the rate by {@link #EXTRA_REFILL}, which gradually compensates for units that were counted
   * but not used.
   */
  double levelFromTotal(double total, long window) {
    return plan.burst()
        + plan.rate() * (1 + EXTRA_REFILL) * (ctx.now - windowStart(window)) / 1000
        - total;
  }

  /**
   * Whether the quota is exhausted even if other gateways used nothing since the last answer, so
   * that a call would only add load.
   */
  boolean isCertainlyExhausted(double units) {
    return Math.min(plan.burst(), level + assumedOthersUnits) - inFlightUnits < units
        && ctx.now - syncedAt < EXHAUSTED_RECHECK_MS;
  }

  /**
   * Share of the customer's requests that call the counter. If a customer is far over its quota,
   * most calls lead to a refusal, and each such refusal causes a second call, which subtracts the
   * added units again. Fewer calls are therefore made for such a customer. The share recovers while
   * no answers arrive.
   */
  double callShare() {
    return Double.isNaN(syncedAt)
        ? 1
        : 1 - (1 - callShare) * Math.exp((syncedAt - ctx.now) / USAGE_PERSISTENCE_MS);
  }

  /**
   * Whether the request fits the quota: by the confirmed total, or else by the replica and the
   * allowance for unconfirmed requests.
   */
  boolean isWithinQuota(double units, boolean confirmed, double ownInFlightUnits) {
    double room = confirmed ? level : level - inFlightUnits + ownInFlightUnits;
    boolean within =
        room >= units
            && (confirmed
                || !usesTotals
                || unconfirmedAllowance >= units
                || unconfirmedValue() > 0);
    if (confirmed) {
      callShare = Math.min(1, callShare * (within ? CALL_SHARE_INCREASE : CALL_SHARE_DECREASE));
      admittedShare.add(within ? 1 : 0, ctx.now);
    }
    return within;
  }

  boolean profitsFromOverQuota() {
    return plan.overQuotaValue() > plan.overQuotaCost() && plan.ceilingRate() <= 0;
  }

  /**
   * Expected value of an unconfirmed request, as a share of its full value. The probability that
   * the request is within the quota is the admitted share of its plan, which decays without answers
   * until only the value over quota counts. Zero for plans with an open limit, because the number
   * of requests open at other gateways is unknown.
   */
  private double unconfirmedValue() {
    double admittedProbability = admittedShare.decayed(ctx.now) * callShare();
    return plan.maxOpen() > 0
        ? 0
        : admittedProbability
            + (1 - admittedProbability) * (plan.overQuotaValue() - plan.overQuotaCost());
  }

  void consume(double units) {
    level -= units;
    unconfirmedAllowance = Math.max(0, unconfirmedAllowance - units);
    ownUnitsSinceSync += units;
  }

  /**
   * Enforces the hard ceiling. Confirmed sends are charged to the shared part and all others to
   * this gateway's own part, so the sum stays below the ceiling whatever the counter returns or
   * loses.
   */
  boolean tryTakeFromCeiling(double units, boolean confirmed) {
    boolean fromShared = plan.ceilingRate() > 0 && confirmed && sharedCeiling >= units;
    boolean fromOwn = plan.ceilingRate() > 0 && !fromShared && ownCeiling >= units;
    sharedCeiling -= fromShared ? units : 0;
    ownCeiling -= fromOwn ? units : 0;
    return plan.ceilingRate() <= 0 || fromShared || fromOwn;
  }

  void settle(double difference) {
    refill();
    if (difference < 0 && plan.ceilingRate() > 0 && ownCeilingShare() < 1) {
      difference = -Math.min(-difference, ownCeiling);
      ownCeiling += difference;
    }
    level -= difference;
    unreportedUnits += difference;
  }

  /**
   * Replaces the use by other gateways that {@link #refill} assumed since the last answer by the
   * use that the counter's total shows.
   */
  void applyOthersUse(double others, double sinceMs) {
    double refilled =
        Double.isNaN(syncedAt)
            ? plan.rate() * sinceMs / 1000
            : assumedOthersUnits * Math.min(1, sinceMs / Math.max(1, ctx.now - syncedAt));
    level = Math.min(plan.burst(), level + refilled - others);
    sharedCeiling -= others;
    refillCeiling(0);
  }

  /**
   * Updates the rates of use with the units that other gateways added in the last {@code sinceMs},
   * assumed to be evenly spread; older samples decay.
   */
  void updateRates(double others, double sinceMs) {
    boolean first = Double.isNaN(syncedAt);
    double intervals = Math.max(1, sinceMs) / ctx.load.attemptMs;
    othersRecentUnits =
        Math.max(
            0,
            (first ? 0 : decayedOthersUnits()) + others * (1 - Math.exp(-intervals)) / intervals);
    double age = first ? sinceMs : ctx.now - syncedAt;
    double oldWeight =
        Math.exp(
            -(usesTotals ? age : sinceMs)
                / (usesTotals ? USAGE_PERSISTENCE_MS / 3 : RATE_AVERAGING_MS));
    double seconds = Math.max(0.001, sinceMs / 1000);
    othersRate = Math.max(0, oldWeight * othersRate + (1 - oldWeight) * others / seconds);
    ownRate = oldWeight * ownRate + (1 - oldWeight) * ownUnitsSinceSync / seconds;
    ownUnitsSinceSync = assumedOthersUnits = 0;
    syncedAt = ctx.now;
  }
}
