package willowdoor.policy;

import java.util.List;

/** Limits the requests that this gateway sends to backends that have just started. */
final class SlowStart {
  /**
   * The credits of a cold backend are computed as if at least this share of the subset were warm.
   */
  private static final double MIN_WARM_SHARE = 0.5;

  private final Context ctx;

  /** Backends of this gateway's subset; a live view of the registry's list. */
  private final List<Backend> subset;

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
   * Protects a backend that has just started (WIRE, rule 4). Only gateways with the backend in
   * their subset send to it. Each of them earns credits in proportion to the requests that a warm
   * backend gets, with a phase of its own. A credit is one whole request; unused credits expire.
   * For all gateways together, the saved credits and those earned in overloadAfterMs stay within
   * the budget plus half of the allowance for random variation. Cost: a restarted fleet recovers
   * more slowly.
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
   * Credits per millisecond: this gateway's rate of responses, divided among the backends by their
   * current capacity. If no backend is warm, the rate that one request at a time would give.
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
