package willowdoor.policy;

import java.util.*;
import willowdoor.policy.GatewayApi.*;

/**
 * The backends: those of the roster, less those that operators took out, and those this gateway
 * keeps to.
 */
final class Fleet {
  /**
   * Backends that a gateway keeps to (subsetting), so as to meet each often enough to know it, on
   * few connections; and gateways that keep to each at least, so that it does not idle when one of
   * them does.
   */
  private static final int SUBSET = 12, SHARED_BY = 4;

  private final Context ctx;
  private final TreeMap<Long, Backend> backends = new TreeMap<>();
  private final Set<Long> banned =
      new HashSet<>(); // by operators, whatever the roster says of them
  private final Map<String, Mean> failing = new HashMap<>();
  final List<Backend> serving = new ArrayList<>(), usual = new ArrayList<>();
  final ColdRoom coldRoom;

  Fleet(Context ctx) {
    this.ctx = ctx;
    coldRoom = new ColdRoom(ctx, usual);
  }

  void onRoster(Roster e) {
    if (e.form() == RosterForm.FAILED) {
      ctx.out.add(new WakeAt(ctx.now + 1000, "follow"));
      return;
    }
    if (e.form() != RosterForm.CHANGES) {
      backends.values().forEach(b -> b.phase = Phase.REMOVED);
    }
    for (BackendEntry x : e.entries()) {
      Backend b = backends.computeIfAbsent(x.id(), id -> new Backend(ctx, id));
      if (b.entry != null && b.entry.startedMs() != x.startedMs()) {
        b = new Backend(ctx, b.id);
        backends.put(b.id, b);
      }
      tell(b, x);
    }
    backends.values().removeIf(b -> b.phase == Phase.REMOVED && b.out.isEmpty());
    listServing();
  }

  private void tell(Backend b, BackendEntry x) {
    b.entry = x;
    b.phase = x.phase();
    b.startedMs = Math.max(b.startedMs, x.startedMs());
    b.zoneFailing = failingIn(x.zone());
    b.cellFailing = failingIn(x.zone() + "/" + x.cell());
  }

  private Mean failingIn(String group) {
    return failing.computeIfAbsent(
        group, g -> new Mean(Backend.NEWEST, Pressure.LIFE_MS, ctx.now, 0));
  }

  private void listServing() {
    serving.clear();
    backends.values().stream()
        .filter(b -> b.phase == Phase.SERVING && !banned(b.id))
        .forEach(serving::add);
    double mean = serving.stream().mapToDouble(Backend::toldSize).average().orElse(1);
    serving.forEach(b -> b.size = b.toldSize() / mean);
    ctx.pressure.serving = serving.size();
    listUsual();
    coldRoom.listed();
  }

  /**
   * Deterministic subsetting: all gateways put the backends in the same order, and each keeps to
   * the stretch that begins at its own place, so that every backend is kept to by equally many.
   */
  private void listUsual() {
    int n = serving.size();
    int gateways = Math.max(1, ctx.settings.gateways());
    List<Backend> ring = serving.stream().sorted(Comparator.comparingLong(Backend::rank)).toList();
    int from = ctx.settings.self() * n / gateways;
    usual.clear();
    for (int i = 0; i < n; i++) {
      Backend b = ring.get((from + i) % n);
      b.coldAt = b.kept ? b.coldAt : ctx.now;
      b.kept = i < Math.max(SUBSET, SHARED_BY * n / gateways);
      if (b.kept) {
        usual.add(b);
      }
    }
  }

  boolean banned(long backend) {
    return banned.contains(backend);
  }

  boolean knows(long backend) {
    return banned(backend) || backends.containsKey(backend);
  }

  /**
   * What is put back was restarted meanwhile, or may have been: cold, and nothing is known of it,
   * so it is tried soon. Harm: where it is not well yet, one request that can be repeated finds
   * out.
   */
  void onBan(Ban e) {
    Backend before = backends.get(e.backend());
    if (e.out()) {
      banned.add(e.backend());
    } else if (banned.remove(e.backend()) && before != null) {
      Backend b = new Backend(ctx, before.id);
      tell(b, before.entry);
      b.phase = before.phase;
      b.startedMs = ctx.now;
      b.trial = true;
      backends.put(b.id, b);
    }
    listServing();
  }
}
