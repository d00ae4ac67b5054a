package willowdoor.policy;

import java.util.*;
import willowdoor.policy.GatewayApi.*;

/**
 * The backends: those of the roster, less those that operators took out, and those this gateway
 * keeps to.
 */
final class BackendRegistry {
  /**
   * Backends that a gateway keeps to (subsetting), so as to meet each often enough to know it, on
   * few connections; and gateways that keep to each at least, so that it does not idle when one of
   * them does.
   */
  private static final int SUBSET_SIZE = 12, MIN_GATEWAYS_PER_BACKEND = 4;

  private final Context ctx;
  private final TreeMap<Long, Backend> backends = new TreeMap<>();
  private final Set<Long> excluded =
      new HashSet<>(); // by operators, whatever the roster says of them
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
   * Deterministic subsetting: all gateways put the backends in the same order, and each keeps to
   * the stretch that begins at its own place, so that every backend is kept to by equally many.
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
   * What is put back was restarted meanwhile, or may have been: cold, and nothing is known of it,
   * so it is tried soon. Harm: where it is not well yet, one request that can be repeated finds
   * out.
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
