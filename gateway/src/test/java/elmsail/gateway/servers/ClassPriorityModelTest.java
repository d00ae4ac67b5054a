package elmsail.gateway.servers;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import elmsail.config.Route;
import elmsail.runtime.NettyEventLoop;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Three kinds of requests before servers that know no priorities: checks and longer answers that
 * people wait for, and items of batch jobs, which come in a burst. Whatever the load, items are not
 * served more often in time than what people wait for, by more than 5 in 100.
 */
class ClassPriorityModelTest {
  /** In the order of urgency. */
  private enum Kind {
    CHECK(1_800, 40, 0.75),
    ANSWER(1_100, 190, 0.25),
    ITEM(770, 700, 0);

    final int tokens;
    final int holdMs;
    final double shareOfPeople;

    Kind(int tokens, int holdMs, double shareOfPeople) {
      this.tokens = tokens;
      this.holdMs = holdMs;
      this.shareOfPeople = shareOfPeople;
    }
  }

  private static final long LATENCY_TARGET_MS = 300;
  private static final long ITEM_DUE_MS = 8_000;
  private static final long DURATION_MS = 16_000;
  private static final long BURST_AT_MS = 5_000;
  private static final int JOBS = 12;
  private static final int ITEMS_PER_JOB = 60;
  private static final long RUNNER_INTERVAL_MS = 40;
  private static final double MAX_LESS_URGENT_AHEAD = 0.05;

  private static final HttpResponse OK =
      new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);

  private static final Route ROUTE =
      new Route(
          "r",
          "h",
          "/r/",
          Route.Kind.STREAM,
          2_000,
          LATENCY_TARGET_MS,
          0,
          List.of(new Route.WeightedService("s", 1)),
          1,
          false,
          0,
          0,
          0,
          0);

  private final NettyEventLoop loop = new NettyEventLoop();
  private final Map<Kind, Integer> sent = new EnumMap<>(Kind.class);
  private final Map<Kind, Integer> inTime = new EnumMap<>(Kind.class);
  private GatewayFleet fleet;

  @AfterEach
  void close() {
    loop.shutdown();
  }

  private final class Request extends NoOpRequest implements SimulatedServer.Client {
    private final Kind kind;
    private final Prompt prompt;
    private final long dueAt;
    private final Runnable onRejected;
    private Server server;
    private Attempt attempt;
    private long firstTokenAt;

    Request(Kind kind, long dueAt, Runnable onRejected) {
      this.kind = kind;
      this.dueAt = dueAt;
      this.onRejected = onRejected;
      int tokens = kind.tokens / 4 + fleet.draws.nextInt(kind.tokens * 3 / 2);
      int part = fleet.draws.nextInt(400);
      prompt = Prompt.parse("top:100,p" + part + ":100,own:" + tokens, null);
    }

    void sendTo(Server chosen) {
      server = chosen;
      attempt = new Attempt(server, this, this, fleet.timers.now());
      server.onAttemptStarted(attempt);
      attempt.markSent();
      double hold = kind.holdMs * (0.25 + 1.5 * fleet.draws.nextDouble());
      fleet
          .models
          .get(server.id())
          .submit(prompt.totalTokens() / GatewayFleet.TOKENS_PER_MS, hold, this);
    }

    @Override
    public void onRejected() {
      attempt.cancel();
      onRejected.run();
    }

    @Override
    public void onFirstToken() {
      firstTokenAt = fleet.timers.now();
      server.health().recordResponse(firstTokenAt);
      attempt.onHead(OK);
      if (kind != Kind.ITEM && firstTokenAt <= dueAt) {
        inTime.merge(kind, 1, Integer::sum);
      }
    }

    @Override
    public void onEnded() {
      server.load().recordSlotHoldTime(fleet.timers.now() - firstTokenAt);
      attempt.onComplete();
      if (kind == Kind.ITEM && fleet.timers.now() <= dueAt) {
        inTime.merge(kind, 1, Integer::sum);
      }
    }

    @Override
    public boolean isBatchItem() {
      return kind == Kind.ITEM;
    }

    @Override
    public Prompt prompt() {
      return prompt;
    }
  }

  /** Runs the items of the jobs that one gateway has accepted. */
  private final class Runner {
    private final Servers gateway;
    private final ArrayDeque<Long> dueTimes = new ArrayDeque<>();

    Runner(Servers gateway) {
      this.gateway = gateway;
      fleet.timers.schedule(RUNNER_INTERVAL_MS, this::startItems);
    }

    private void startItems() {
      fleet.timers.schedule(RUNNER_INTERVAL_MS, this::startItems);
      while (!dueTimes.isEmpty() && startOne(dueTimes.peek())) {
        dueTimes.poll();
      }
    }

    private boolean startOne(long dueAt) {
      long now = fleet.timers.now();
      Set<Server> full = new HashSet<>();
      for (Server server : gateway.serversOf("s")) {
        if (server.availableItemCapacity(now) <= 0) {
          full.add(server);
        }
      }
      Request item = new Request(Kind.ITEM, dueAt, () -> dueTimes.add(dueAt));
      return gateway
          .picker()
          .pick(ROUTE, item.prompt(), full)
          .map(
              server -> {
                item.sendTo(server);
                return true;
              })
          .orElse(false);
    }
  }

  private void sendFromAPerson(Kind kind) {
    sent.merge(kind, 1, Integer::sum);
    Servers gateway = fleet.anyGateway();
    Request request = new Request(kind, fleet.timers.now() + LATENCY_TARGET_MS, () -> {});
    gateway
        .picker()
        .pick(ROUTE, request.prompt(), Set.of())
        .filter(server -> !gateway.picker().rejects(server, request.prompt(), LATENCY_TARGET_MS))
        .ifPresent(request::sendTo);
  }

  private static double peoplesCapacityPerSecond() {
    double tokens = 0;
    double holdMs = 0;
    for (Kind kind : Kind.values()) {
      tokens += kind.shareOfPeople * kind.tokens;
      holdMs += kind.shareOfPeople * kind.holdMs;
    }
    return GatewayFleet.capacityPerSecond((int) tokens, (int) holdMs);
  }

  private void play(double load, long seed) {
    fleet = new GatewayFleet(loop.eventLoop(), new SplittableRandom(seed), true);
    for (Kind kind : Kind.values()) {
      sent.put(kind, 0);
      inTime.put(kind, 0);
    }
    double perSecond = load * peoplesCapacityPerSecond();
    for (double at = 0; at < DURATION_MS; ) {
      at += -Math.log(1 - fleet.draws.nextDouble()) * 1_000 / perSecond;
      Kind kind = fleet.draws.nextDouble() < Kind.CHECK.shareOfPeople ? Kind.CHECK : Kind.ANSWER;
      fleet.timers.schedule((long) at, () -> sendFromAPerson(kind));
    }
    List<Runner> runners = new ArrayList<>();
    fleet.gateways.forEach(gateway -> runners.add(new Runner(gateway)));
    fleet.timers.schedule(BURST_AT_MS, () -> handInJobs(runners));
    fleet.timers.advance(DURATION_MS + 1_000);
  }

  private void handInJobs(List<Runner> runners) {
    for (int job = 0; job < JOBS; job++) {
      Runner runner = runners.get(fleet.draws.nextInt(runners.size()));
      for (int item = 0; item < ITEMS_PER_JOB; item++) {
        sent.merge(Kind.ITEM, 1, Integer::sum);
        runner.dueTimes.add(fleet.timers.now() + ITEM_DUE_MS);
      }
    }
  }

  private double share(Kind kind) {
    return (double) inTime.get(kind) / sent.get(kind);
  }

  @ParameterizedTest
  @ValueSource(doubles = {0.5, 0.8, 1.0, 1.3})
  void itemsAreNotServedBetterThanWhatPeopleWaitFor(double load) {
    for (long seed = 1; seed <= 3; seed++) {
      play(load, seed);
      System.out.printf(
          "load %.1f, seed %d: in time %.3f of checks, %.3f of answers, %.3f of items%n",
          load, seed, share(Kind.CHECK), share(Kind.ANSWER), share(Kind.ITEM));
      assertThat(sent.get(Kind.ITEM), greaterThan(0));
      for (Kind people : List.of(Kind.CHECK, Kind.ANSWER)) {
        assertThat(
            "items ahead of " + people + " at " + load + ", seed " + seed,
            share(Kind.ITEM) - share(people),
            lessThanOrEqualTo(MAX_LESS_URGENT_AHEAD));
      }
    }
  }
}
