package willowdoor.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import willowdoor.policy.GatewayApi.Action;
import willowdoor.policy.GatewayApi.BackendEntry;
import willowdoor.policy.GatewayApi.BackendExclusion;
import willowdoor.policy.GatewayApi.BackendList;
import willowdoor.policy.GatewayApi.BackendListKind;
import willowdoor.policy.GatewayApi.Cancel;
import willowdoor.policy.GatewayApi.DeduplicationScope;
import willowdoor.policy.GatewayApi.Event;
import willowdoor.policy.GatewayApi.GatewayOptions;
import willowdoor.policy.GatewayApi.Outcome;
import willowdoor.policy.GatewayApi.Phase;
import willowdoor.policy.GatewayApi.Request;
import willowdoor.policy.GatewayApi.RequestClass;
import willowdoor.policy.GatewayApi.RetrySafety;
import willowdoor.policy.GatewayApi.Rules;
import willowdoor.policy.GatewayApi.Send;
import willowdoor.policy.GatewayApi.SetTimer;
import willowdoor.policy.GatewayApi.Settings;
import willowdoor.policy.GatewayApi.Status;
import willowdoor.policy.GatewayApi.TimerFired;

/**
 * All processes of a fleet before the same backends, on a clock moved by hand, with seeded chance;
 * what each backend is sent is kept with its time, whoever sent it.
 */
final class FleetSlowStartModel {
  static final double SERVICE_MS = 100;

  private record Due(double at, long order, Runnable what) {}

  final Rules rules;
  final SplittableRandom random;
  final TreeMap<Long, BackendEntry> list = new TreeMap<>();
  final TreeMap<Long, Double> startedAt = new TreeMap<>(); // of those that have started in truth
  final TreeMap<Long, List<Double>> sends = new TreeMap<>();
  final Set<Long> down = new HashSet<>();
  final double[] share; // of the traffic, by process
  double failing; // share of the attempts
  double perSecond;
  double now = 1_000_000;
  private final QuotaPolicy[] fleet;
  private final int[] life;
  private final PriorityQueue<Due> queue =
      new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::order));
  private final long seed;
  private long next;

  FleetSlowStartModel(int processes, int backends, double perSecond, Rules rules, long seed) {
    this.rules = rules;
    this.perSecond = perSecond;
    this.seed = seed;
    random = new SplittableRandom(seed);
    fleet = new QuotaPolicy[processes];
    life = new int[processes];
    share = new double[processes];
    Arrays.fill(share, 1.0 / processes);
    for (int i = 0; i < backends; i++) {
      put(i, 0);
    }
  }

  /** A few processes get three quarters of the traffic, evenly; the others share the rest. */
  FleetSlowStartModel uneven() {
    int few = Math.max(1, share.length / 10);
    for (int i = 0; i < share.length; i++) {
      share[i] = i % 10 == 0 && i < 10 * few ? 0.75 / few : 0.25 / (share.length - few);
    }
    return this;
  }

  void put(long id, double startedMs) {
    list.put(
        id,
        new BackendEntry(id, id % 2 == 0 ? "a" : "b", (int) (id % 4), Phase.SERVING, 1, startedMs));
    if (startedMs > 0) {
      startedAt.put(id, startedMs);
    }
  }

  /** Starts the process, anew if it runs: what it knew and had out is gone. */
  void start(int i) {
    life[i]++;
    List<RequestClass> classes =
        List.of(
            new RequestClass(
                "safe", 1, 0, 1000, 4000, RetrySafety.SAFE, DeduplicationScope.ALL, 0, false),
            new RequestClass(
                "unsafe", 1, 0, 1000, 4000, RetrySafety.UNSAFE, DeduplicationScope.ALL, 0, false),
            new RequestClass(
                "cell", 1, 0, 1000, 4000, RetrySafety.KEYED, DeduplicationScope.CELL, 3000, false));
    Settings s =
        new Settings(
            fleet.length,
            i,
            "a",
            4,
            0,
            false,
            classes,
            List.of(PolicyHarness.FREE),
            new GatewayOptions(false, 30, true, false, 4, 1000, true, 2000, false),
            rules);
    fleet[i] = new QuotaPolicy(s, seed * 1000 + i + 7919L * life[i]);
    act(i, fleet[i].start(now));
    on(i, new BackendList(BackendListKind.CACHED, List.copyOf(list.values())));
  }

  FleetSlowStartModel startAll() {
    for (int i = 0; i < fleet.length; i++) {
      start(i);
    }
    arrive();
    return this;
  }

  void tellAll() {
    for (int i = 0; i < fleet.length; i++) {
      on(i, new BackendList(BackendListKind.COMPLETE, List.copyOf(list.values())));
    }
  }

  void banAll(long id, boolean out) {
    for (int i = 0; i < fleet.length; i++) {
      on(i, new BackendExclusion(id, out));
    }
  }

  void run(double ms) {
    double end = now + ms;
    while (!queue.isEmpty() && queue.peek().at < end) {
      Due due = queue.poll();
      now = due.at;
      due.what.run();
    }
    now = end;
  }

  void in(double ms, Runnable what) {
    queue.add(new Due(now + ms, next++, what));
  }

  private void arrive() {
    in(
        -Math.log(1 - random.nextDouble()) * 1000 / perSecond,
        () -> {
          double draw = random.nextDouble();
          int at = 0;
          while (at < share.length - 1 && draw >= share[at]) {
            draw -= share[at++];
          }
          double kind = random.nextDouble();
          on(
              at,
              new Request(
                  "m" + next++,
                  kind < 0.5 ? "safe" : kind < 0.8 ? "cell" : "unsafe",
                  "free",
                  42,
                  fleet.length,
                  1,
                  now + 4000));
          arrive();
        });
  }

  private void on(int i, Event event) {
    act(i, fleet[i].on(now, event));
  }

  private void act(int i, List<Action> actions) {
    int lives = life[i];
    for (Action action : actions) {
      if (action instanceof SetTimer a) {
        later(i, lives, Math.max(0, a.atMs() - now) + 0.01, new TimerFired(a.label()));
      } else if (action instanceof Send s) {
        sends.computeIfAbsent(s.backend(), b -> new ArrayList<>()).add(now);
        int number = numbers.merge(s.request(), 1, Integer::sum) - 1;
        boolean fails = random.nextDouble() < failing;
        Status status =
            down.contains(s.backend()) ? Status.UNREACHABLE : fails ? Status.ERROR : Status.OK;
        double took = status == Status.OK ? SERVICE_MS * (0.7 + 0.6 * random.nextDouble()) : 5;
        later(
            i,
            lives,
            took,
            new Outcome(
                s.request(), number, s.backend(), status, took, status == Status.OK, 0, null));
      } else if (action instanceof Cancel) {
        throw new AssertionError("nothing is that slow here");
      }
    }
  }

  private final TreeMap<String, Integer> numbers = new TreeMap<>();

  private void later(int i, int lives, double ms, Event event) {
    in(
        ms,
        () -> {
          if (life[i] == lives) {
            on(i, event);
          }
        });
  }

  /** The part of its capacity that the rules promise of a backend that started then. */
  private double warmShare(double started, double at) {
    return Math.min(
        1,
        rules.warmUpStartShare()
            + (1 - rules.warmUpStartShare()) * Math.max(0, at - started) / rules.warmUpMs());
  }

  int sent(long backend, double from, double to) {
    return (int)
        sends.getOrDefault(backend, List.of()).stream().filter(t -> t > from && t <= to).count();
  }

  /** What a backend that is warm got a second in the time, in the mean. */
  double carried(double from, double to) {
    return list.keySet().stream()
            .filter(id -> !startedAt.containsKey(id))
            .mapToInt(id -> sent(id, from, to))
            .average()
            .orElse(0)
        * 1000
        / (to - from);
  }

  /** The most that one got a second in the time. */
  double mostCarried(double from, double to) {
    return list.keySet().stream().mapToInt(id -> sent(id, from, to)).max().orElse(0)
        * 1000
        / (to - from);
  }

  /** What it would have got if it had been held to its share of the capacity at each moment. */
  double due(long backend, double capacity, double from, double to) {
    double sum = 0;
    for (double t = from; t < to; t += 10) {
      sum += capacity * warmShare(startedAt.get(backend), t) * 10 / 1000;
    }
    return sum;
  }

  /**
   * The most, over all windows of the rules that end while a backend is cold, by which what all
   * processes sent to it passes N + 2 x root of N + 2, N being the budget by a warm one's capacity
   * a second.
   */
  double worstExcess(double capacity) {
    double worst = Double.NEGATIVE_INFINITY;
    for (long id : startedAt.keySet()) {
      double began = startedAt.get(id);
      List<Double> times =
          sends.getOrDefault(id, List.of()).stream()
              .filter(t -> t >= began && t < began + rules.warmUpMs())
              .toList();
      for (int last = 0, first = 0; last < times.size(); last++) {
        double end = times.get(last);
        while (times.get(first) <= end - rules.overloadAfterMs()) {
          first++;
        }
        double n = rules.overloadMultiple() * due(id, capacity, end - rules.overloadAfterMs(), end);
        worst = Math.max(worst, last - first + 1 - (n + 2 * Math.sqrt(n) + 2));
      }
    }
    return worst;
  }
}
