package willowdoor.policy;

import java.util.List;

/** What backends that have just started may get from here. */
final class ColdRoom {
  /** However few are warm, a cold backend gets no more than if this share of those kept to were. */
  private static final double LEAST_WARM = 0.5;

  private final Context ctx;
  private final List<Backend> usual; // those that this gateway keeps to, as they are at any moment
  private double bears, unknown, warmAt = Double.NEGATIVE_INFINITY;

  ColdRoom(Context ctx, List<Backend> usual) {
    this.ctx = ctx;
    this.usual = usual;
  }

  void listed() {
    warmAt = Double.NEGATIVE_INFINITY;
  }

  void sent(Backend b) {
    b.coldSpent += b.cold() ? 1 : 0;
  }

  /**
   * Guards a backend that has just started (WIRE, rule 4): only gateways that keep to it send
   * there. They earn its part of what a warm one gets, in whole requests that expire, each at its
   * own phase: what all hold and earn in TipAfterMs is in the budget and half its chance. Harm: a
   * fleet comes back slower.
   */
  boolean has(Backend b) {
    if (!b.cold() || !b.kept) {
      return !b.cold();
    }
    double keepers =
        Math.max(1, ctx.settings.gateways() * usual.size() / (double) ctx.pressure.serving);
    double rate = earnedPerMs(b, keepers), multiple = ctx.settings.rules().tipMultiple();
    double brings = rate * ctx.settings.rules().tipAfterMs();
    double shared =
        (multiple - 1) * brings + (1 + Math.sqrt(multiple * brings * keepers)) / 2 / keepers;
    b.coldEarned += rate * Math.max(0, ctx.now - Math.max(b.coldAt, b.startedMs));
    b.coldAt = ctx.now;
    b.coldSpent =
        Math.max(b.coldSpent, Math.floor(b.coldEarned - Math.min(1 + Math.sqrt(brings), shared)));
    return Math.floor(b.coldEarned) > b.coldSpent;
  }

  /**
   * By what is answered from here, shared as each bears; with no warm ones, by one request at a
   * time.
   */
  private double earnedPerMs(Backend b, double keepers) {
    if (ctx.now - warmAt > 500) {
      bears = usual.stream().mapToDouble(u -> u.size * (u.cold() ? u.warmShare() : 1)).sum();
      unknown =
          Math.max(
              0, 1 - usual.stream().filter(u -> !u.cold()).count() / (LEAST_WARM * usual.size()));
      warmAt = ctx.now;
    }
    double floor = 0.5 * unknown * 1000 / Math.max(1, ctx.pressure.service) / keepers;
    double warm = ctx.pressure.answersPerS(ctx.now) / Math.max(bears, usual.size() * LEAST_WARM);
    return Math.max(warm, floor) * b.size * b.warmShare() / 1000;
  }
}
