package willowdoor.policy;

import java.util.List;
import willowdoor.policy.GatewayApi.*;

/** Selects the backend for the next attempt of a request. */
record BackendSelector(Context ctx, BackendRegistry backends) {
  /**
   * Number of backends compared for a request, divided by the number of gateways; at least two.
   * With more candidates, gateways with the same outdated reports would all choose the same
   * backend.
   */
  private static final double FLEET_CANDIDATES = 30;

  /**
   * Random spread of the expected waits, so that gateways with the same reports choose different
   * backends.
   */
  private static final double RANDOM_SPREAD = 0.15;

  /**
   * Selects the backend with the shortest expected wait of a few random ones (power of two
   * choices). With many gateways, comparing all would send every request to the same backend,
   * because their reports are equally outdated. All warming backends with credits are candidates
   * too and win a tie, because their credits expire. If all candidates are backed off, the backoff
   * is ignored.
   */
  Backend select(PendingRequest pending) {
    boolean restricted =
        pending.firstBackend != null
            && pending.requestClass.deduplicationScope() != DeduplicationScope.ALL;
    List<Backend> candidates =
        restricted
            ? backends.serving.stream().filter(b -> inDeduplicationScope(b, pending)).toList()
            : backends.subset;
    int sampleSize =
        (int) Math.max(2, Math.ceil(FLEET_CANDIDATES / Math.max(2, ctx.settings.gateways())));
    Backend best = bestOf(candidates, pending, sampleSize, false);
    best = best != null || restricted ? best : bestOf(backends.serving, pending, sampleSize, false);
    return best != null ? best : bestOf(candidates, pending, sampleSize, true);
  }

  private static boolean inDeduplicationScope(Backend backend, PendingRequest pending) {
    BackendEntry entry = backend.entry, firstEntry = pending.firstBackend.entry;
    return entry.zone().equals(firstEntry.zone())
        && (pending.requestClass.deduplicationScope() == DeduplicationScope.ZONE
            || entry.cell() == firstEntry.cell());
  }

  private Backend bestOf(
      List<Backend> candidates, PendingRequest pending, int sampleSize, boolean ignoreBackoff) {
    Backend best = null;
    double bestWaitMs = Double.POSITIVE_INFINITY;
    boolean all = candidates.size() <= sampleSize;
    int draws = all ? 0 : 3 * sampleSize;
    for (int i = 0, found = 0; i < draws + candidates.size(); i++) {
      Backend backend =
          candidates.get(i < draws ? ctx.random.nextInt(candidates.size()) : i - draws);
      boolean considered = i < draws ? found < sampleSize : all || backend.isWarmingUp();
      if (considered
          && backend.isAvailable()
          && (ignoreBackoff || !backend.isBackingOff(pending.requestClass.retrySafety()))
          && backends.slowStart.maySend(backend)) {
        found++;
        double retryPenalty = backend == pending.lastBackend ? 4 : 1;
        double waitMs =
            backend.expectedWaitMs(pending.objectiveMs())
                * (1 + RANDOM_SPREAD * ctx.random.nextDouble() * (backend.isWarmingUp() ? -1 : 1))
                * retryPenalty;
        best = waitMs < bestWaitMs ? backend : best;
        bestWaitMs = Math.min(waitMs, bestWaitMs);
      }
    }
    return best;
  }
}
