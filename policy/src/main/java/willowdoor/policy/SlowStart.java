package willowdoor.policy;

import java.util.List;

/** What backends that have just started may get from here. */
final class SlowStart {
  /** However few are warm, a cold backend gets no more than if this share of those kept to were. */
  private static final double MIN_WARM_SHARE = 0.5;

  private final Context ctx;
  private final List<Backend> subset; // those that this gateway keeps to, as they are at any moment
  private double subsetCapacity, unmeasuredShare, capacityComputedAt = Double.NEGATIVE_INFINITY;

  SlowStart(Context ctx, List<Backend> subset) {
    this.ctx = ctx;
    this.subset = subset;
  }

  void onSubsetChanged() {
    capacityComputedAt = Double.NEGATIVE_INFINITY;
  }

  void onSend(Backend backend) {
    backend.warmUpCreditsUsed += backend.isWarmingUp() ? 1 : 0;
  }

  /**
   * Guards a backend that has just started (WIRE, rule 4): only gateways that keep to it send
   * there. They earn its part of what a warm one gets, in whole requests that expire, each at its
   * own phase: what all hold and earn in TipAfterMs is in the budget and half its chance. Harm: a
   * fleet comes back slower.
   */
  boolean maySend(Backend backend) {
    if (!backend.isWarmingUp() || !backend.inSubset) {
      return !backend.isWarmingUp();
    }
    double gatewaysPerBackend =
        Math.max(1, ctx.settings.gateways() * subset.size() / (double) ctx.load.servingBackends);
    double earnedPerMs = creditsPerMs(backend, gatewaysPerBackend),
        overloadMultiple = ctx.settings.rules().overloadMultiple();
    double creditsPerWindow = earnedPerMs * ctx.settings.rules().overloadAfterMs();
    double maxSavedShare =
        (overloadMultiple - 1) * creditsPerWindow
            + (1 + Math.sqrt(overloadMultiple * creditsPerWindow * gatewaysPerBackend))
                / 2
                / gatewaysPerBackend;
    backend.warmUpCredits +=
        earnedPerMs * Math.max(0, ctx.now - Math.max(backend.warmUpCreditedAt, backend.startedMs));
    backend.warmUpCreditedAt = ctx.now;
    backend.warmUpCreditsUsed =
        Math.max(
            backend.warmUpCreditsUsed,
            Math.floor(
                backend.warmUpCredits - Math.min(1 + Math.sqrt(creditsPerWindow), maxSavedShare)));
    return Math.floor(backend.warmUpCredits) > backend.warmUpCreditsUsed;
  }

  /**
   * By what is answered from here, shared as each bears; with no warm ones, by one request at a
   * time.
   */
  private double creditsPerMs(Backend backend, double gatewaysPerBackend) {
    if (ctx.now - capacityComputedAt > 500) {
      subsetCapacity =
          subset.stream()
              .mapToDouble(u -> u.relativeCapacity * (u.isWarmingUp() ? u.warmUpShare() : 1))
              .sum();
      unmeasuredShare =
          Math.max(
              0,
              1
                  - subset.stream().filter(u -> !u.isWarmingUp()).count()
                      / (MIN_WARM_SHARE * subset.size()));
      capacityComputedAt = ctx.now;
    }
    double minPerSecond =
        0.5 * unmeasuredShare * 1000 / Math.max(1, ctx.load.serviceMs) / gatewaysPerBackend;
    double perSecond =
        ctx.load.answersPerSecond(ctx.now)
            / Math.max(subsetCapacity, subset.size() * MIN_WARM_SHARE);
    return Math.max(perSecond, minPerSecond)
        * backend.relativeCapacity
        * backend.warmUpShare()
        / 1000;
  }
}
