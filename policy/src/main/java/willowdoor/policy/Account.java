package willowdoor.policy;

import willowdoor.policy.GatewayApi.Plan;

/**
 * What this gateway knows of one customer: a replica of its plan's bucket, fed by the shared
 * totals.
 */
final class Account {
  /** Longest window of a count: many refills of any usual quota, so edges are rare. */
  private static final double WINDOW_MS = 25_000;

  /**
   * Up to this many entry points each meets a customer often enough to follow its bucket that long.
   */
  private static final double FOLLOWING = 3;

  /**
   * What a customer is taken to use of its rate before anything is known: most stay well under it.
   */
  private static final double USUAL_USE = 0.5;

  /**
   * Window of a count that tells the level: so that the window before is still known as one begins.
   */
  private static final double TOTAL_WINDOW_MS = 45_000;

  /**
   * Totals are worked off so much faster than the rate, as some of what was counted took nothing.
   */
  private static final double FORGIVEN = 0.06;

  /**
   * By these the share asked about falls and rises, so that of ten answers some nine let a request
   * in.
   */
  private static final double HOPE_CUT = 0.5, HOPE_GROWN = 1.1;

  /**
   * A customer known to be spent is still asked about this often, as refunds of others may have
   * come.
   */
  private static final double SPENT_RECHECK_MS = 400;

  /**
   * How long the spending of a customer is remembered for its rates: longer than a burst, a few
   * refills.
   */
  static final double RATE_MEMORY_MS = 5_000;

  /**
   * How long a rarely met customer is taken to go on as last seen: heavy use comes in long spells.
   */
  private static final double SPELL_MS = 15_000;

  private final Context ctx;
  private final long customer;
  final Plan plan;
  private final Mean letIn; // the share of its plan's requests that the answers of late let in
  private final int gateways; // through how many its requests may come

  /**
   * Shift and length of its counts' windows; met too rarely to follow its bucket, which totals
   * tell.
   */
  private final double phase, windowMs;

  final boolean byTotal;
  double level, levelAt; // units in the bucket as estimated, and when
  private double assumed; // spending of others taken for granted since the last answer
  private double othersRate, ownRate, ownSince; // units a second; own units since the last answer
  double syncedAt = Double.NaN;
  double owed,
      maybe,
      flying; // units for the next add, perhaps added by unanswered calls, in calls under way
  long window = Long.MIN_VALUE;
  double seen; // the window last answered for, and its total then
  private double counted,
      own; // the ceiling: for counted sends together, and this gateway's own part
  private double
      elsewhere; // units that others added of late, each faded by the time a request is out
  private double hopeful =
      1; // the share of its requests that are worth asking about, as the answers went
  private double part; // this gateway's even part of the quota, which it may send on unasked
  int out; // attempts

  Account(Context ctx, long customer, Plan plan, Mean letIn, int entryPoints) {
    this.ctx = ctx;
    this.letIn = letIn;
    this.customer = customer;
    this.plan = plan;
    gateways = Math.max(1, Math.min(entryPoints, ctx.settings.gateways()));
    levelAt = ctx.now;
    double refillMs = plan.rate() > 0 ? 1000 * plan.burst() / plan.rate() : 0;
    double followed = plan.ceilingRate() > 0 ? WINDOW_MS : WINDOW_MS * FOLLOWING / gateways;
    double ownMs = Math.max(refillMs, Math.min(WINDOW_MS, followed));
    boolean rarelyMet = gateways > FOLLOWING + 1 || ownMs < 2 * refillMs;
    byTotal = rarelyMet && refillMs > 0 && plan.ceilingRate() <= 0 && shared();
    windowMs = byTotal ? TOTAL_WINDOW_MS : ownMs;
    phase = Math.floorMod(customer * 0x9E3779B97F4A7C15L, (long) (byTotal ? windowMs : WINDOW_MS));
    level = cap();
    fillCeiling((ctx.now - ctx.startedAt) / 1000);
    part = ctx.random.nextDouble() * ctx.settings.maxUnits();
    othersRate = plan.rate() * (byTotal ? USUAL_USE : 1 - 1.0 / gateways);
  }

  boolean shared() {
    return ctx.settings.allowed().sharedCount();
  }

  private double cap() {
    return shared() ? plan.burst() : plan.burst() / gateways;
  }

  long windowNow() {
    return (long) Math.floor((ctx.now + phase) / windowMs);
  }

  double windowStart(long ofWindow) {
    return ofWindow * windowMs - phase;
  }

  String name(long ofWindow) {
    return Long.toString(customer, 36) + ":" + ofWindow;
  }

  /**
   * Whether no more may be open here: this gateway's part of the limit by the customer's use is
   * out, and so is what others leave of it, where told. Parts alone waste a limit that is small for
   * so many gateways.
   */
  boolean openFull() {
    double part = Math.max(1, Math.round(plan.openLimit() * ownPart()));
    return plan.openLimit() > 0
        && out >= (told() ? Math.max(part, plan.openLimit() - openElsewhere()) : part);
  }

  /**
   * Whether the shared count was seen so lately that it held what the others have open, and answers
   * come in time: what waits for a silent backend was added long ago.
   */
  boolean told() {
    return ctx.now - syncedAt < ctx.pressure.timeOut
        && ctx.pressure.expectedOfAim(ctx.now) < Pressure.LOW;
  }

  /**
   * The most that others likely have open: what they added to the shared count while a request is
   * out.
   */
  private double openElsewhere() {
    double likely = faded() / ctx.pressure.meanUnits;
    return likely + 2 * Math.sqrt(likely + 1);
  }

  private double faded() {
    return elsewhere * Math.exp((syncedAt - ctx.now) / ctx.pressure.timeOut);
  }

  /** This gateway's part of the customer's use as lately seen; an even one before anything was. */
  private double ownPart() {
    double least = plan.rate() * 0.05;
    return plan.rate() <= 0
        ? 1.0 / gateways
        : (ownRate + least) / (ownRate + othersRate + least * gateways);
  }

  /**
   * The share of a ceiling for gateways by themselves: all for two, for more a largest request
   * each.
   */
  private double ownShare() {
    return Math.min(
        1, Math.max(2.0 / gateways, gateways * ctx.settings.maxUnits() / plan.ceilingBurst()));
  }

  private void fillCeiling(double dt) {
    double burst = plan.ceilingBurst() + plan.ceilingSlack() / 2;
    counted =
        Math.min(burst * (1 - ownShare()), counted + plan.ceilingRate() * (1 - ownShare()) * dt);
    own =
        Math.min(
            burst * ownShare() / gateways, own + plan.ceilingRate() * ownShare() / gateways * dt);
  }

  /**
   * Refills to the present; others go on spending as they did, but this gateway keeps its own
   * share.
   */
  void advance() {
    double dt = (ctx.now - levelAt) / 1000;
    levelAt = ctx.now;
    if (dt <= 0) {
      return;
    }
    part =
        Math.min(
            Math.max(plan.burst() / gateways, ctx.settings.maxUnits()),
            part + plan.rate() / gateways * dt);
    double others = shared() ? Math.min(othersRate, plan.rate() * (1 - ownPart())) : othersRate;
    double full = Math.min(cap(), level + plan.rate() * dt);
    level = Math.min(cap(), level + (plan.rate() - others) * dt);
    assumed += full - level;
    fillCeiling(dt);
  }

  /**
   * Units in the bucket by a window's total, as if all that the rate gave since the window began
   * were kept: more than a burst where the customer used less. What was counted and not used is
   * forgotten in time.
   */
  double levelBy(double total, long ofWindow) {
    return plan.burst()
        + plan.rate() * (1 + FORGIVEN) * (ctx.now - windowStart(ofWindow)) / 1000
        - total;
  }

  /**
   * Whether it is spent even if others spent nothing since the last answer: a call would only add
   * load.
   */
  boolean surelySpent(double units) {
    return Math.min(plan.burst(), level + assumed) - flying < units
        && ctx.now - syncedAt < SPENT_RECHECK_MS;
  }

  /**
   * The share of its requests to ask about: of a customer that asks for much more than it may have,
   * most are refused whoever asks, and calls that are refused cost two. Grows back while nothing is
   * heard.
   */
  double hopeful() {
    return Double.isNaN(syncedAt)
        ? 1
        : 1 - (1 - hopeful) * Math.exp((syncedAt - ctx.now) / SPELL_MS);
  }

  /**
   * Whether there is room by the answered total, or else by the replica and what may be sent on
   * unasked.
   */
  boolean within(double units, boolean answered, double ownFlying) {
    double room = answered ? level : level - flying + ownFlying;
    boolean within = room >= units && (answered || !byTotal || part >= units || worthUnasked() > 0);
    if (answered) {
      hopeful = Math.min(1, hopeful * (within ? HOPE_GROWN : HOPE_CUT));
      letIn.add(within ? 1 : 0, ctx.now);
    }
    return within;
  }

  boolean earnsBeyond() {
    return plan.beyondEarns() > plan.beyondCost() && plan.ceilingRate() <= 0;
  }

  /**
   * What a request that nobody confirmed brings in the mean, as a share of its worth: as likely
   * inside the quota as those of its plan that were asked about. Without answers that falls to what
   * lies beyond. Nothing where open requests are limited, as no answer tells how many the others
   * have out.
   */
  private double worthUnasked() {
    double inside = letIn.fresh(ctx.now) * hopeful();
    return plan.openLimit() > 0
        ? 0
        : inside + (1 - inside) * (plan.beyondEarns() - plan.beyondCost());
  }

  void take(double units) {
    level -= units;
    part = Math.max(0, part - units);
    ownSince += units;
  }

  /**
   * A hard ceiling: sends that the counter answered for come out of the part that is counted, all
   * others out of this gateway's own part, so the sum holds whatever the counter answers or
   * forgets.
   */
  boolean holdsCeiling(double units, boolean answered) {
    boolean together = plan.ceilingRate() > 0 && answered && counted >= units;
    boolean alone = plan.ceilingRate() > 0 && !together && own >= units;
    counted -= together ? units : 0;
    own -= alone ? units : 0;
    return plan.ceilingRate() <= 0 || together || alone;
  }

  void settle(double gap) {
    advance();
    if (gap < 0 && plan.ceilingRate() > 0 && ownShare() < 1) {
      gap = -Math.min(-gap, own);
      own += gap;
    }
    level -= gap;
    owed += gap;
  }

  void replay(double others, double sinceMs) {
    double refilled =
        Double.isNaN(syncedAt)
            ? plan.rate() * sinceMs / 1000
            : assumed * Math.min(1, sinceMs / Math.max(1, ctx.now - syncedAt));
    level = Math.min(plan.burst(), level + refilled - others);
    counted -= others;
    fillCeiling(0);
  }

  /**
   * Learns from what others added since then, which is taken to have come evenly; the earlier
   * fades.
   */
  void learn(double others, double sinceMs) {
    boolean first = Double.isNaN(syncedAt);
    double span = Math.max(1, sinceMs) / ctx.pressure.timeOut;
    elsewhere = Math.max(0, (first ? 0 : faded()) + others * (1 - Math.exp(-span)) / span);
    double age = first ? sinceMs : ctx.now - syncedAt;
    double keep = Math.exp(-(byTotal ? age : sinceMs) / (byTotal ? SPELL_MS / 3 : RATE_MEMORY_MS));
    double seconds = Math.max(0.001, sinceMs / 1000);
    othersRate = Math.max(0, keep * othersRate + (1 - keep) * others / seconds);
    ownRate = keep * ownRate + (1 - keep) * ownSince / seconds;
    ownSince = assumed = 0;
    syncedAt = ctx.now;
  }
}
