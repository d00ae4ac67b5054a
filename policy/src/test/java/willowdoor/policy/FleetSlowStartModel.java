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
 * Simulates all gateways of a fleet in front of the same backends, with a simulated clock and a
 * seeded random source. Records the time of each send to each backend.
 */
final class FleetSlowStartModel {
  static final double SERVICE_MS = 100;

  private record ScheduledTask(double at, long order, Runnable task) {}

  final Rules rules;
  final SplittableRandom random;
  final TreeMap<Long, BackendEntry> entries = new TreeMap<>();

  /** Actual start times of the backends that have started during the test. */
  final TreeMap<Long, Double> startTimes = new TreeMap<>();

  final TreeMap<Long, List<Double>> sends = new TreeMap<>();
  final Set<Long> down = new HashSet<>();

  /** Share of the traffic, by gateway. */
  final double[] trafficShare;

  /** Share of the attempts that fail. */
  double errorRate;

  double requestsPerSecond;
  double now = 1_000_000;
  private final QuotaPolicy[] gateways;
  private final int[] incarnation;
  private final PriorityQueue<ScheduledTask> queue =
      new PriorityQueue<>(
          Comparator.comparingDouble(ScheduledTask::at).thenComparingLong(ScheduledTask::order));
  private final long seed;
  private long nextSequence;

  FleetSlowStartModel(int gatewayCount, int backends, double perSecond, Rules rules, long seed) {
    this.rules = rules;
    this.requestsPerSecond = perSecond;
    this.seed = seed;
    random = new SplittableRandom(seed);
    gateways = new QuotaPolicy[gatewayCount];
    incarnation = new int[gatewayCount];
    trafficShare = new double[gatewayCount];
    Arrays.fill(trafficShare, 1.0 / gatewayCount);
    for (int i = 0; i < backends; i++) {
      addBackend(i, 0);
    }
  }

  /** A few gateways share three quarters of the traffic evenly; the others share the rest. */
  FleetSlowStartModel withUnevenTraffic() {
    int few = Math.max(1, trafficShare.length / 10);
    for (int i = 0; i < trafficShare.length; i++) {
      trafficShare[i] =
          i % 10 == 0 && i < 10 * few ? 0.75 / few : 0.25 / (trafficShare.length - few);
    }
    return this;
  }

  void addBackend(long id, double startedMs) {
    entries.put(
        id,
        new BackendEntry(id, id % 2 == 0 ? "a" : "b", (int) (id % 4), Phase.SERVING, 1, startedMs));
    if (startedMs > 0) {
      startTimes.put(id, startedMs);
    }
  }

  /** Starts the gateway, or restarts it: its state and its open attempts are lost. */
  void startGateway(int i) {
    incarnation[i]++;
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
            gateways.length,
            i,
            "a",
            4,
            0,
            false,
            classes,
            List.of(PolicyHarness.UNLIMITED),
            new GatewayOptions(false, 30, true, false, 4, 1000, true, 2000, false),
            rules);
    gateways[i] = new QuotaPolicy(s, seed * 1000 + i + 7919L * incarnation[i]);
    perform(i, gateways[i].start(now));
    on(i, new BackendList(BackendListKind.CACHED, List.copyOf(entries.values())));
  }

  FleetSlowStartModel startAllGateways() {
    for (int i = 0; i < gateways.length; i++) {
      startGateway(i);
    }
    scheduleArrival();
    return this;
  }

  void publishList() {
    for (int i = 0; i < gateways.length; i++) {
      on(i, new BackendList(BackendListKind.COMPLETE, List.copyOf(entries.values())));
    }
  }

  void setExcluded(long id, boolean out) {
    for (int i = 0; i < gateways.length; i++) {
      on(i, new BackendExclusion(id, out));
    }
  }

  void runFor(double ms) {
    double end = now + ms;
    while (!queue.isEmpty() && queue.peek().at < end) {
      ScheduledTask due = queue.poll();
      now = due.at;
      due.task.run();
    }
    now = end;
  }

  void schedule(double ms, Runnable task) {
    queue.add(new ScheduledTask(now + ms, nextSequence++, task));
  }

  private void scheduleArrival() {
    schedule(
        -Math.log(1 - random.nextDouble()) * 1000 / requestsPerSecond,
        () -> {
          double draw = random.nextDouble();
          int at = 0;
          while (at < trafficShare.length - 1 && draw >= trafficShare[at]) {
            draw -= trafficShare[at++];
          }
          double kind = random.nextDouble();
          on(
              at,
              new Request(
                  "m" + nextSequence++,
                  kind < 0.5 ? "safe" : kind < 0.8 ? "cell" : "unsafe",
                  "unlimited",
                  42,
                  gateways.length,
                  1,
                  now + 4000));
          scheduleArrival();
        });
  }

  private void on(int i, Event event) {
    perform(i, gateways[i].on(now, event));
  }

  private void perform(int i, List<Action> actions) {
    int runningIncarnation = incarnation[i];
    for (Action action : actions) {
      if (action instanceof SetTimer a) {
        scheduleEvent(
            i, runningIncarnation, Math.max(0, a.atMs() - now) + 0.01, new TimerFired(a.label()));
      } else if (action instanceof Send s) {
        sends.computeIfAbsent(s.backend(), b -> new ArrayList<>()).add(now);
        int number = attemptCounts.merge(s.request(), 1, Integer::sum) - 1;
        boolean fails = random.nextDouble() < errorRate;
        Status status =
            down.contains(s.backend()) ? Status.UNREACHABLE : fails ? Status.ERROR : Status.OK;
        double took = status == Status.OK ? SERVICE_MS * (0.7 + 0.6 * random.nextDouble()) : 5;
        scheduleEvent(
            i,
            runningIncarnation,
            took,
            new Outcome(
                s.request(), number, s.backend(), status, took, status == Status.OK, 0, null));
      } else if (action instanceof Cancel) {
        throw new AssertionError("no simulated backend is slow enough for a cancellation");
      }
    }
  }

  private final TreeMap<String, Integer> attemptCounts = new TreeMap<>();

  private void scheduleEvent(int i, int runningIncarnation, double ms, Event event) {
    schedule(
        ms,
        () -> {
          if (incarnation[i] == runningIncarnation) {
            on(i, event);
          }
        });
  }

  /** The share of its capacity that a backend started at that time has under the warm-up rules. */
  private double warmUpShare(double started, double at) {
    return Math.min(
        1,
        rules.warmUpStartShare()
            + (1 - rules.warmUpStartShare()) * Math.max(0, at - started) / rules.warmUpMs());
  }

  int sent(long backend, double from, double to) {
    return (int)
        sends.getOrDefault(backend, List.of()).stream().filter(t -> t > from && t <= to).count();
  }

  /** Mean requests per second sent to a warm backend in the interval. */
  double meanWarmRate(double from, double to) {
    return entries.keySet().stream()
            .filter(id -> !startTimes.containsKey(id))
            .mapToInt(id -> sent(id, from, to))
            .average()
            .orElse(0)
        * 1000
        / (to - from);
  }

  /** Maximum requests per second sent to one backend in the interval. */
  double maxRate(double from, double to) {
    return entries.keySet().stream().mapToInt(id -> sent(id, from, to)).max().orElse(0)
        * 1000
        / (to - from);
  }

  /**
   * Number of requests for the backend if it always got exactly its warm-up share of the capacity.
   */
  double expectedSends(long backend, double capacity, double from, double to) {
    double sum = 0;
    for (double t = from; t < to; t += 10) {
      sum += capacity * warmUpShare(startTimes.get(backend), t) * 10 / 1000;
    }
    return sum;
  }

  /**
   * The maximum excess of the requests from all gateways over N + 2 x sqrt(N) + 2, over all windows
   * of overloadAfterMs that end while a backend warms up. N is the budget by the capacity of a warm
   * backend in requests per second.
   */
  double maxExcess(double capacity) {
    double worst = Double.NEGATIVE_INFINITY;
    for (long id : startTimes.keySet()) {
      double began = startTimes.get(id);
      List<Double> times =
          sends.getOrDefault(id, List.of()).stream()
              .filter(t -> t >= began && t < began + rules.warmUpMs())
              .toList();
      for (int last = 0, first = 0; last < times.size(); last++) {
        double end = times.get(last);
        while (times.get(first) <= end - rules.overloadAfterMs()) {
          first++;
        }
        double n =
            rules.overloadMultiple()
                * expectedSends(id, capacity, end - rules.overloadAfterMs(), end);
        worst = Math.max(worst, last - first + 1 - (n + 2 * Math.sqrt(n) + 2));
      }
    }
    return worst;
  }
}
