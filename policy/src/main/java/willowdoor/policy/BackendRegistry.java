package willowdoor.policy;

import java.util.*;
import willowdoor.policy.GatewayApi.*;

/**
 * The backends of the list without those that operators excluded, and this gateway's subset of
 * them.
 */
final class BackendRegistry {
  /**
   * Size of a gateway's subset of backends: small, so that each is used often enough for good
   * estimates and few connections are needed. And the minimum number of gateways per backend, so
   * that a backend does not idle when one of its gateways does.
   */
  private static final int SUBSET_SIZE = 12, MIN_GATEWAYS_PER_BACKEND = 4;

  private final Context ctx;
  private final TreeMap<Long, Backend> backends = new TreeMap<>();

  /** Backends that operators excluded; has precedence over the backend list. */
  private final Set<Long> excluded = new HashSet<>();

  private final Map<String, MovingAverage> failureRates = new HashMap<>();
  final List<Backend> serving = new ArrayList<>(), subset = new ArrayList<>();
  final SlowStart slowStart;

  BackendRegistry(Context ctx) {
    this.ctx = ctx;
    slowStart = new SlowStart(ctx, subset);
  }

  void onBackendList(BackendList list) {
    if (list.kind() == BackendListKind.FAILED) {
      ctx.actions.add(new SetTimer(ctx.now + 1000, "follow"));
      return;
    }
    if (list.kind() != BackendListKind.CHANGES) {
      backends.values().forEach(backend -> backend.phase = Phase.REMOVED);
    }
    for (BackendEntry entry : list.entries()) {
      Backend backend = backends.computeIfAbsent(entry.id(), id -> new Backend(ctx, id));
      if (backend.entry != null && backend.entry.startedMs() != entry.startedMs()) {
        backend = new Backend(ctx, backend.id);
        backends.put(backend.id, backend);
      }
      update(backend, entry);
    }
    backends
        .values()
        .removeIf(backend -> backend.phase == Phase.REMOVED && backend.inFlight.isEmpty());
    updateServing();
  }

  private void update(Backend backend, BackendEntry entry) {
    backend.entry = entry;
    backend.phase = entry.phase();
    backend.startedMs = Math.max(backend.startedMs, entry.startedMs());
    backend.zoneFailureRate = failureRateOf(entry.zone());
    backend.cellFailureRate = failureRateOf(entry.zone() + "/" + entry.cell());
  }

  private MovingAverage failureRateOf(String group) {
    return failureRates.computeIfAbsent(
        group, g -> new MovingAverage(Backend.SAMPLE_WEIGHT, LoadEstimate.DECAY_MS, ctx.now, 0));
  }

  private void updateServing() {
    serving.clear();
    backends.values().stream()
        .filter(b -> b.phase == Phase.SERVING && !excluded(b.id))
        .forEach(serving::add);
    double meanCapacity =
        serving.stream().mapToDouble(Backend::reportedCapacity).average().orElse(1);
    serving.forEach(b -> b.relativeCapacity = b.reportedCapacity() / meanCapacity);
    ctx.load.servingBackends = serving.size();
    updateSubset();
    slowStart.onSubsetChanged();
  }

  /**
   * Deterministic subsetting: all gateways sort the backends in the same order, and each takes the
   * range that begins at its own position, so that every backend is in equally many subsets.
   */
  private void updateSubset() {
    int n = serving.size();
    int gateways = Math.max(1, ctx.settings.gateways());
    List<Backend> ring =
        serving.stream().sorted(Comparator.comparingLong(Backend::ringHash)).toList();
    int start = ctx.settings.selfIndex() * n / gateways;
    subset.clear();
    for (int i = 0; i < n; i++) {
      Backend backend = ring.get((start + i) % n);
      backend.warmUpCreditedAt = backend.inSubset ? backend.warmUpCreditedAt : ctx.now;
      backend.inSubset = i < Math.max(SUBSET_SIZE, MIN_GATEWAYS_PER_BACKEND * n / gateways);
      if (backend.inSubset) {
        subset.add(backend);
      }
    }
  }

  boolean excluded(long backend) {
    return excluded.contains(backend);
  }

  boolean isKnown(long backend) {
    return excluded(backend) || backends.containsKey(backend);
  }

  /**
   * A readmitted backend may have been restarted in the meantime. It starts cold and without
   * estimates, and is probed soon. Cost: if the backend has not recovered, one repeatable request
   * fails on it.
   */
  void onExclusion(BackendExclusion exclusion) {
    Backend previous = backends.get(exclusion.backend());
    if (exclusion.excluded()) {
      excluded.add(exclusion.backend());
    } else if (excluded.remove(exclusion.backend()) && previous != null) {
      Backend backend = new Backend(ctx, previous.id);
      update(backend, previous.entry);
      backend.phase = previous.phase;
      backend.startedMs = ctx.now;
      backend.probing = true;
      backends.put(backend.id, backend);
    }
    updateServing();
  }
}
