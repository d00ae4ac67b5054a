package willowdoor.policy;

import java.util.List;

/** What backends that have just started may get from here. */
final class ColdRoom {
  /** However few are warm, a cold backend gets no more than if this share of those kept to were. */
  private static final double LEAST_WARM = 0.5;

  private final Context ctx;
  private final List<Backend> usual; // those that this gateway keeps to, as they are at any moment
  private double warm, warmAt = Double.NEGATIVE_INFINITY, sendRate, sendsAt;

  ColdRoom(Context ctx, List<Backend> usual) {
    this.ctx = ctx;
    this.usual = usual;
  }

  void listed() { warmAt = Double.NEGATIVE_INFINITY; }

  void sent(Backend b) {
    b.coldTokens -= b.cold() ? 1 : 0;
    sendRate = sendRate * Math.exp((sendsAt - ctx.now) / Pressure.LIFE_MS) + 1000 / Pressure.LIFE_MS;
    sendsAt = ctx.now;
  }

  /** Guards a backend that has just started, for whatever cause: it gets no more than its present part of
   * what a warm one gets, attempts of every kind included, and as much more at once as chance brings: the
   * root of what that is in the time that the rules name. Harm: slower use of a fleet that comes back. */
  boolean has(Backend b) {
    if (!b.cold()) { return true; }
    double floor = 1000 / Math.max(1, ctx.pressure.service) / ctx.settings.gateways();
    double rate = Math.max(sendsPerBackend(), 0.5 * floor) * b.warmShare() / 1000;
    double most = 1 + Math.sqrt(rate * ctx.settings.rules().tipAfterMs());
    b.coldTokens = Math.min(most, b.coldTokens + rate * (ctx.now - b.coldAt));
    b.coldAt = ctx.now;
    return b.coldTokens >= 1;
  }

  /** What a warm backend gets from here, if those that this gateway keeps to share it by what they bear. */
  private double sendsPerBackend() {
    if (ctx.now - warmAt > 500) {
      double bears = usual.stream().mapToDouble(b -> b.cold() ? b.warmShare() : 1).sum();
      warm = Math.max(bears, usual.size() * LEAST_WARM);
      warmAt = ctx.now;
    }
    return warm == 0 ? 0 : sendRate * Math.exp((sendsAt - ctx.now) / Pressure.LIFE_MS) / warm;
  }
}
