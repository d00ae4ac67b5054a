package willowdoor.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import willowdoor.policy.GatewayApi.Action;
import willowdoor.policy.GatewayApi.AddToCounter;
import willowdoor.policy.GatewayApi.BackendEntry;
import willowdoor.policy.GatewayApi.BackendList;
import willowdoor.policy.GatewayApi.BackendListKind;
import willowdoor.policy.GatewayApi.CounterResult;
import willowdoor.policy.GatewayApi.DeduplicationScope;
import willowdoor.policy.GatewayApi.Event;
import willowdoor.policy.GatewayApi.Fail;
import willowdoor.policy.GatewayApi.GatewayOptions;
import willowdoor.policy.GatewayApi.Outcome;
import willowdoor.policy.GatewayApi.Phase;
import willowdoor.policy.GatewayApi.Plan;
import willowdoor.policy.GatewayApi.Refuse;
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
 * Simulates customers with several usage patterns, many gateways, a counter with latency, and
 * servers with cores and a queue. The true token bucket of each customer is tracked beside them; no
 * gateway sees it.
 */
final class QuotaSimulation {

  /** Results of the tries, in units. Room is what the true token bucket holds at that time. */
  static final class Result {
    double sent;
    double sentOverQuota;
    double sentOverOpenLimit;
    double offeredWithinQuota;
    double offered;
    double gain;
    long tryCount;
    long triesRefusedHalfFull;
    long calls;
    double servedInTime;
    long answered;
    double totalLatencyMs;

    /** Share of the sent units that exceeded the true bucket, for plans with a cost over quota. */
    double overQuotaShare() {
      return sentOverQuota / Math.max(1, sent);
    }

    /** Share of all tries that were refused with at least half of the true bucket unused. */
    double refusedHalfFullShare() {
      return triesRefusedHalfFull / (double) Math.max(1, tryCount);
    }

    /**
     * Value of requests within the true bucket that were answered within their latency objective,
     * relative to what a single gateway with full knowledge would admit.
     */
    double servedShare() {
      return servedInTime / Math.max(1, offeredWithinQuota);
    }

    /**
     * Value of requests answered within their latency objective, where requests over quota count
     * with the value that the plan gives them, minus the cost of requests sent over quota, relative
     * to what a single gateway with full knowledge would gain.
     */
    double gainShare() {
      return gain / Math.max(1, offered);
    }

    double callsPerTry() {
      return calls / (double) Math.max(1, tryCount);
    }

    @Override
    public String toString() {
      return String.format(
          Locale.ROOT,
          "gain %.3f served %.3f over-quota %.3f (open %.3f) refused-half-full %.3f calls/try %.2f tries %d"
              + " wait %.0f",
          gainShare(),
          servedShare(),
          overQuotaShare(),
          sentOverOpenLimit / Math.max(1, sent),
          refusedHalfFullShare(),
          callsPerTry(),
          tryCount,
          totalLatencyMs / Math.max(1, answered));
    }
  }

  /**
   * Plans and their numbers of customers, as for the whole fleet on a usual day. One plan profits
   * from requests over quota.
   */
  private static final List<Plan> PLANS =
      List.of(
          new Plan("starter", 1.1, 8, 0, 0.88, 0, 0.6, 0, 0, 0),
          new Plan("business", 5, 8, 0, 1.1, 0.1, 0, 0, 0, 0),
          new Plan("enterprise", 20, 57, 11, 1.6, 0, 0.5, 0, 0, 0));

  private static final int[] CUSTOMERS = {450, 65, 26};
  private static final double SERVICE_MS = 420;
  private static final int CORES = 3;
  private static final int QUEUE_CAPACITY = 24;

  private static final double CALL_MS = 12;

  /** Shards of the counter. */
  private static final int COUNTER_SHARDS = 2;

  /** A shard rejects calls that would have to wait for longer. */
  private static final double MAX_COUNTER_QUEUE_MS = 40;

  private static final RequestClass PREVIEW =
      new RequestClass(
          "preview", 1, 0, 3872, 9680, RetrySafety.SAFE, DeduplicationScope.ALL, 0, false);
  private static final RequestClass SIGN =
      new RequestClass(
          "sign", 5, 0, 1549, 4646, RetrySafety.KEYED, DeduplicationScope.CELL, 9700, false);
  private static final RequestClass SEAL =
      new RequestClass(
          "seal", 5, 0, 3098, 7744, RetrySafety.UNSAFE, DeduplicationScope.ALL, 0, false);

  /** A server with several cores and a queue; rejects requests when the queue is full. */
  private static final class Server {
    int busy;
    final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
  }

  /** A token bucket with the rate and the burst of a plan. */
  private static final class TokenBucket {
    private final Plan plan;
    private double level;
    private double updatedAt;

    TokenBucket(Plan plan, double now) {
      this.plan = plan;
      level = plan.burst();
      updatedAt = now;
    }

    double level(double now) {
      level = Math.min(plan.burst(), level + plan.rate() * (now - updatedAt) / 1000);
      updatedAt = now;
      return level;
    }

    boolean take(double units, double now) {
      if (level(now) < units) {
        return false;
      }
      level -= units;
      return true;
    }
  }

  private static final class Customer {
    final long id;
    final Plan plan;
    final String usagePattern;
    final double utilization;
    final TokenBucket bucket;
    final TokenBucket idealBucket;
    int inFlight;
    final double spikeEveryMs;
    final double spikeMs;
    final double spikePhase;
    final int firstGateway;
    final int gatewayCount;

    Customer(long id, Plan plan, SplittableRandom random, double now, int gateways) {
      this.id = id;
      this.plan = plan;
      double kind = random.nextDouble();
      usagePattern = kind < 0.16 ? "full" : kind < 0.25 ? "heavy" : kind < 0.44 ? "spiky" : "calm";
      utilization =
          switch (usagePattern) {
            case "full" -> 0.9 + 0.1 * random.nextDouble();
            case "heavy" -> 1.6 + 3 * random.nextDouble();
            default -> 0.15 + 0.35 * random.nextDouble();
          };
      bucket = new TokenBucket(plan, now);
      idealBucket = new TokenBucket(plan, now);
      spikeEveryMs = 10_000 + 15_000 * random.nextDouble();
      spikeMs = 700 + 3_000 * random.nextDouble();
      spikePhase = spikeEveryMs * random.nextDouble();
      int through = (int) Math.round(gateways * (0.3 + 0.7 * random.nextDouble()));
      gatewayCount = Math.max(Math.min(2, gateways), through);
      firstGateway = random.nextInt(gateways);
    }

    double rate(double now) {
      boolean spike = usagePattern.equals("spiky") && (now + spikePhase) % spikeEveryMs < spikeMs;
      return plan.rate() * (spike ? 5 : utilization);
    }
  }

  private record ScheduledTask(double at, long order, Runnable task) {}

  private record ClientTry(
      Customer customer,
      double units,
      double actualUnits,
      int number,
      RequestClass type,
      double firstTriedAt) {
    double value() {
      return units * type.value() * customer.plan.valueFactor();
    }
  }

  private final SplittableRandom random;
  private final PriorityQueue<ScheduledTask> queue =
      new PriorityQueue<>(
          Comparator.comparingDouble(ScheduledTask::at).thenComparingLong(ScheduledTask::order));
  private final List<QuotaPolicy> policies = new ArrayList<>();
  private final List<Customer> customers = new ArrayList<>();
  private final Map<String, Double> counts = new HashMap<>();
  private final Map<String, ClientTry> openTries = new HashMap<>();
  private final Map<String, Integer> attempts = new HashMap<>();
  private final Result result = new Result();
  private final double estimateSpread;
  private final double callMs;

  /** Time at which each shard has processed its queue. */
  private final double[] shardFreeAt = new double[COUNTER_SHARDS];

  private final List<Server> servers = new ArrayList<>();
  private double now = 1_000_000;
  private double measuredFrom;
  private long nextSequence;

  /** The counter processes {@code callsPerSecond} on all its shards together. */
  QuotaSimulation(
      int gateways, int howManyServers, double guessSpread, double callsPerSecond, long seed) {
    callMs = 1000 * COUNTER_SHARDS / callsPerSecond;
    random = new SplittableRandom(seed);
    this.estimateSpread = guessSpread;
    for (int i = 0; i < howManyServers; i++) {
      servers.add(new Server());
    }
    List<RequestClass> classes = List.of(PREVIEW, SIGN, SEAL);
    for (int i = 0; i < gateways; i++) {
      Settings s =
          new Settings(
              gateways,
              i,
              "a",
              4,
              0,
              false,
              classes,
              PLANS,
              new GatewayOptions(true, 50, true, false, 4, 1000, true, 2000, false),
              new Rules(8, 0.2, 10_000, 3, 2000));
      policies.add(new QuotaPolicy(s, seed * 1000 + i));
    }
    for (int p = 0; p < PLANS.size(); p++) {
      for (int i = 0; i < CUSTOMERS[p]; i++) {
        customers.add(new Customer(random.nextLong() >>> 31, PLANS.get(p), random, now, gateways));
      }
    }
  }

  Result run(double warmS, double seconds) {
    List<BackendEntry> list = new ArrayList<>();
    for (int i = 0; i < servers.size(); i++) {
      list.add(new BackendEntry(i, "a", i % 4, Phase.SERVING, 1, 0));
    }
    for (int i = 0; i < policies.size(); i++) {
      perform(i, policies.get(i).start(now));
      on(i, new BackendList(BackendListKind.CACHED, list));
    }
    customers.forEach(this::scheduleArrival);
    measuredFrom = now + 1000 * warmS;
    double end = measuredFrom + 1000 * seconds;
    for (ScheduledTask due = queue.poll(); due != null && due.at < end; due = queue.poll()) {
      now = due.at;
      due.task.run();
    }
    return result;
  }

  private void schedule(double ms, Runnable task) {
    queue.add(new ScheduledTask(now + ms, nextSequence++, task));
  }

  private void scheduleArrival(Customer c) {
    double most = 5 * c.plan.rate();
    schedule(
        -Math.log(1 - random.nextDouble()) * 1000 / (most / 2.5),
        () -> {
          if (random.nextDouble() < c.rate(now) / most) {
            double draw = random.nextDouble();
            RequestClass type = draw < 0.49 ? PREVIEW : draw < 0.77 ? SIGN : SEAL;
            double truth = 1 + random.nextInt(4);
            double guess =
                Math.min(
                    4, Math.max(1, Math.rint(truth * Math.exp(estimateSpread * normalSample()))));
            ClientTry first = new ClientTry(c, guess, truth, 0, type, now);
            if (c.idealBucket.take(guess, now)) {
              c.idealBucket.level -= truth - guess;
              record(
                  r -> {
                    r.offeredWithinQuota += first.value();
                    r.offered += first.value();
                  });
            } else {
              record(r -> r.offered += first.value() * c.plan.overQuotaValue());
            }
            sendRequest(first);
          }
          scheduleArrival(c);
        });
  }

  private double normalSample() {
    double sum = -6;
    for (int i = 0; i < 12; i++) {
      sum += random.nextDouble();
    }
    return sum;
  }

  private void record(Consumer<Result> update) {
    if (now >= measuredFrom) {
      update.accept(result);
    }
  }

  private void sendRequest(ClientTry t) {
    Customer c = t.customer;
    int at = Math.floorMod(c.firstGateway + random.nextInt(c.gatewayCount), policies.size());
    String id = "m" + nextSequence++;
    openTries.put(id, t);
    record(r -> r.tryCount++);
    on(
        at,
        new Request(
            id,
            t.type.name(),
            c.plan.name(),
            c.id,
            c.gatewayCount,
            t.units,
            now + t.type.deadlineMs()));
  }

  private void on(int gateway, Event event) {
    perform(gateway, policies.get(gateway).on(now, event));
  }

  private void perform(int gateway, List<Action> actions) {
    for (Action action : actions) {
      if (action instanceof SetTimer a) {
        schedule(Math.max(0, a.atMs() - now) + 0.01, () -> on(gateway, new TimerFired(a.label())));
      } else if (action instanceof AddToCounter a) {
        record(r -> r.calls++);
        schedule(CALL_MS / 2, () -> addToCounter(gateway, a));
      } else if (action instanceof Send a) {
        onSend(gateway, a);
      } else if (action instanceof Refuse a) {
        onRefused(a.request());
      } else if (action instanceof Fail a) {
        openTries.remove(a.request());
      }
    }
  }

  private void addToCounter(int gateway, AddToCounter a) {
    int part = Math.floorMod(a.name().hashCode(), COUNTER_SHARDS);
    double doneAt = Math.max(now, shardFreeAt[part]) + callMs;
    if (doneAt - now > MAX_COUNTER_QUEUE_MS) {
      schedule(
          CALL_MS / 2, () -> on(gateway, new CounterResult(a.name(), Status.REJECTED, 0, CALL_MS)));
      return;
    }
    shardFreeAt[part] = doneAt;
    double total = counts.merge(a.name(), a.amount(), Double::sum);
    schedule(
        doneAt - now + CALL_MS / 2,
        () -> on(gateway, new CounterResult(a.name(), Status.OK, total, CALL_MS)));
  }

  private void onSend(int gateway, Send s) {
    ClientTry t = openTries.get(s.request());
    int number = attempts.merge(s.request(), 1, Integer::sum) - 1;
    boolean room =
        t.customer.plan.maxOpen() == 0 || t.customer.inFlight < t.customer.plan.maxOpen();
    boolean inside = number == 0 && room && t.customer.bucket.take(t.units, now);
    t.customer.inFlight++;
    if (number == 0) {
      record(
          r -> {
            r.sent += t.units;
            double cost = inside ? 0 : t.customer.plan.overQuotaCost();
            r.sentOverQuota += cost > 0 ? t.units : 0;
            r.gain -= t.value() * cost;
            r.sentOverOpenLimit += room ? 0 : t.units;
          });
    }
    double sentAt = now;
    Server server = servers.get((int) s.backend());
    double needs = (t.type == SIGN ? 0.6 : 1) * SERVICE_MS * (0.73 + 0.54 * random.nextDouble());
    Runnable work =
        () ->
            schedule(
                needs,
                () -> {
                  server.busy--;
                  if (!server.waiting.isEmpty()) {
                    server.busy++;
                    server.waiting.poll().run();
                  }
                  t.customer.inFlight--;
                  boolean first = openTries.remove(s.request()) != null;
                  if (inside) {
                    t.customer.bucket.level(now);
                    t.customer.bucket.level -= t.actualUnits - t.units;
                  }
                  if (first) {
                    double earned = now - t.firstTriedAt <= t.type.objectiveMs() ? t.value() : 0;
                    record(
                        r -> {
                          r.servedInTime += inside ? earned : 0;
                          r.gain += earned * (inside ? 1 : t.customer.plan.overQuotaValue());
                          r.answered++;
                          r.totalLatencyMs += now - sentAt;
                        });
                  }
                  on(
                      gateway,
                      new Outcome(
                          s.request(),
                          number,
                          s.backend(),
                          Status.OK,
                          now - sentAt,
                          true,
                          t.actualUnits,
                          null));
                });
    if (server.busy < CORES) {
      server.busy++;
      work.run();
    } else if (server.waiting.size() < QUEUE_CAPACITY) {
      server.waiting.add(work);
    } else {
      t.customer.inFlight--;
      schedule(
          2,
          () ->
              on(
                  gateway,
                  new Outcome(
                      s.request(), number, s.backend(), Status.REJECTED, 2, false, 0, null)));
    }
  }

  /** Retries up to three times, through another gateway. */
  private void onRefused(String id) {
    ClientTry t = openTries.remove(id);
    if (t == null) {
      return;
    }
    double level = t.customer.bucket.level(now);
    record(r -> r.triesRefusedHalfFull += level >= t.customer.plan.burst() / 2 ? 1 : 0);
    if (t.number < 3) {
      schedule(
          400 + 800 * random.nextDouble() * (1 << t.number),
          () ->
              sendRequest(
                  new ClientTry(
                      t.customer, t.units, t.actualUnits, t.number + 1, t.type, t.firstTriedAt)));
    }
  }
}
