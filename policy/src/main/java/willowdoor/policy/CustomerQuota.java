package willowdoor.policy;

import willowdoor.policy.GatewayApi.Plan;

/**
 * What this gateway knows of one customer: a replica of its plan's bucket, fed by the shared
 * totals.
 */
final class CustomerQuota {
  /** Longest window of a count: many refills of any usual quota, so edges are rare. */
  private static final double MAX_WINDOW_MS = 25_000;

  /**
   * Up to this many entry points each meets a customer often enough to follow its bucket that long.
   */
  private static final double REPLICA_MAX_GATEWAYS = 3;

  /**
   * What a customer is taken to use of its rate before anything is known: most stay well under it.
   */
  private static final double INITIAL_UTILIZATION = 0.5;

  /**
   * Window of a count that tells the level: so that the window before is still known as one begins.
   */
  private static final double TOTALS_WINDOW_MS = 45_000;

  /**
   * Totals are worked off so much faster than the rate, as some of what was counted took nothing.
   */
  private static final double EXTRA_REFILL = 0.06;

  /**
   * By these the share asked about falls and rises, so that of ten answers some nine let a request
   * in.
   */
  private static final double CALL_SHARE_DECREASE = 0.5, CALL_SHARE_INCREASE = 1.1;

  /**
   * A customer known to be spent is still asked about this often, as refunds of others may have
   * come.
   */
  private static final double EXHAUSTED_RECHECK_MS = 400;

  /**
   * How long the spending of a customer is remembered for its rates: longer than a burst, a few
   * refills.
   */
  static final double RATE_AVERAGING_MS = 5_000;

  /**
   * How long a rarely met customer is taken to go on as last seen: heavy use comes in long spells.
   */
  private static final double USAGE_PERSISTENCE_MS = 15_000;

  private final Context ctx;
  private final long customer;
  final Plan plan;
  private final MovingAverage
      admittedShare; // the share of its plan's requests that the answers of late let in
  private final int gateways; // through how many its requests may come

  /**
   * Shift and length of its counts' windows; met too rarely to follow its bucket, which totals
   * tell.
   */
  private final double windowOffsetMs, windowMs;

  final boolean usesTotals;
  double level, levelUpdatedAt; // units in the bucket as estimated, and when
  private double assumedOthersUnits; // spending of others taken for granted since the last answer
  private double othersRate,
      ownRate,
      ownUnitsSinceSync; // units a second; own units since the last answer
  double syncedAt = Double.NaN;
  double unreportedUnits,
      uncertainUnits,
      inFlightUnits; // units for the next add, perhaps added by unanswered calls, in calls under
  // way
  long lastWindow = Long.MIN_VALUE;
  double lastTotal; // the window last answered for, and its total then
  private double sharedCeiling,
      ownCeiling; // the ceiling: for counted sends together, and this gateway's own part
  private double
      othersRecentUnits; // units that others added of late, each faded by the time a request is out
  private double callShare =
      1; // the share of its requests that are worth asking about, as the answers went
  private double
      unconfirmedAllowance; // this gateway's even part of the quota, which it may send on unasked
  int openAttempts; // attempts

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
   * Whether no more may be open here: this gateway's part of the limit by the customer's use is
   * out, and so is what others leave of it, where told. Parts alone waste a limit that is small for
   * so many gateways.
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
   * Whether the shared count was seen so lately that it held what the others have open, and answers
   * come in time: what waits for a silent backend was added long ago.
   */
  boolean sharedCountIsCurrent() {
    return ctx.now - syncedAt < ctx.load.attemptMs
        && ctx.load.expectedWaitShare(ctx.now) < LoadEstimate.MAX_WAIT_LOW_VALUE;
  }

  /**
   * The most that others likely have open: what they added to the shared count while a request is
   * out.
   */
  private double openAtOtherGateways() {
    double likely = decayedOthersUnits() / ctx.load.meanUnits;
    return likely + 2 * Math.sqrt(likely + 1);
  }

  private double decayedOthersUnits() {
    return othersRecentUnits * Math.exp((syncedAt - ctx.now) / ctx.load.attemptMs);
  }

  /** This gateway's part of the customer's use as lately seen; an even one before anything was. */
  private double ownUseShare() {
    double minRate = plan.rate() * 0.05;
    return plan.rate() <= 0
        ? 1.0 / gateways
        : (ownRate + minRate) / (ownRate + othersRate + minRate * gateways);
  }

  /**
   * The share of a ceiling for gateways by themselves: all for two, for more a largest request
   * each.
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
   * Refills to the present; others go on spending as they did, but this gateway keeps its own
   * share.
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
   * Units in the bucket by a window's total, as if all that the rate gave since the window began
   * were kept: more than a burst where the customer used less. What was counted and not used is
   * forgotten in time.
   */
  double levelFromTotal(double total, long window) {
    return plan.burst()
        + plan.rate() * (1 + EXTRA_REFILL) * (ctx.now - windowStart(window)) / 1000
        - total;
  }

  /**
   * Whether it is spent even if others spent nothing since the last answer: a call would only add
   * load.
   */
  boolean isCertainlyExhausted(double units) {
    return Math.min(plan.burst(), level + assumedOthersUnits) - inFlightUnits < units
        && ctx.now - syncedAt < EXHAUSTED_RECHECK_MS;
  }

  /**
   * The share of its requests to ask about: of a customer that asks for much more than it may have,
   * most are refused whoever asks, and calls that are refused cost two. Grows back while nothing is
   * heard.
   */
  double callShare() {
    return Double.isNaN(syncedAt)
        ? 1
        : 1 - (1 - callShare) * Math.exp((syncedAt - ctx.now) / USAGE_PERSISTENCE_MS);
  }

  /**
   * Whether there is room by the answered total, or else by the replica and what may be sent on
   * unasked.
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
   * What a request that nobody confirmed brings in the mean, as a share of its worth: as likely
   * inside the quota as those of its plan that were asked about. Without answers that falls to what
   * lies beyond. Nothing where open requests are limited, as no answer tells how many the others
   * have out.
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
   * A hard ceiling: sends that the counter answered for come out of the part that is counted, all
   * others out of this gateway's own part, so the sum holds whatever the counter answers or
   * forgets.
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

  void replayOthers(double others, double sinceMs) {
    double refilled =
        Double.isNaN(syncedAt)
            ? plan.rate() * sinceMs / 1000
            : assumedOthersUnits * Math.min(1, sinceMs / Math.max(1, ctx.now - syncedAt));
    level = Math.min(plan.burst(), level + refilled - others);
    sharedCeiling -= others;
    refillCeiling(0);
  }

  /**
   * Learns from what others added since then, which is taken to have come evenly; the earlier
   * fades.
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
