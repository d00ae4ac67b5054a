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
 * Simulates short and long interactive requests and a burst of batch items at servers without
 * request priorities. Guards against batch items that occupy the slots which interactive requests
 * need: at any load, the share of batch items served on time exceeds that of interactive requests
 * by at most 5 percentage points.
 */
class ClassPriorityModelTest {
  /** Request types, the most urgent first. */
  private enum RequestType {
    SHORT_INTERACTIVE(1_800, 40, 0.75),
    LONG_INTERACTIVE(1_100, 190, 0.25),
    BATCH_ITEM(770, 700, 0);

    final int tokens;
    final int decodeMs;
    final double interactiveShare;

    RequestType(int tokens, int decodeMs, double interactiveShare) {
      this.tokens = tokens;
      this.decodeMs = decodeMs;
      this.interactiveShare = interactiveShare;
    }
  }

  private static final long LATENCY_TARGET_MS = 300;
  private static final long ITEM_DEADLINE_MS = 8_000;
  private static final long DURATION_MS = 16_000;
  private static final long BURST_AT_MS = 5_000;
  private static final int JOBS = 12;
  private static final int ITEMS_PER_JOB = 60;
  private static final long BATCH_RUNNER_INTERVAL_MS = 40;
  private static final double MAX_ITEM_LEAD = 0.05;

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
  private final Map<RequestType, Integer> sent = new EnumMap<>(RequestType.class);
  private final Map<RequestType, Integer> onTime = new EnumMap<>(RequestType.class);
  private GatewayFleet fleet;

  @AfterEach
  void close() {
    loop.shutdown();
  }

  private final class Request extends NoOpRequest implements SimulatedServer.Client {
    private final RequestType type;
    private final Prompt prompt;
    private final long dueAt;
    private final Runnable onRejected;
    private Server server;
    private Attempt attempt;
    private long firstTokenAt;

    Request(RequestType type, long dueAt, Runnable onRejected) {
      this.type = type;
      this.dueAt = dueAt;
      this.onRejected = onRejected;
      int tokens = type.tokens / 4 + fleet.random.nextInt(type.tokens * 3 / 2);
      int prefixId = fleet.random.nextInt(400);
      prompt = Prompt.parse("top:100,p" + prefixId + ":100,own:" + tokens, null);
    }

    void sendTo(Server target) {
      server = target;
      attempt = new Attempt(server, this, this, fleet.timers.now());
      server.onAttemptStarted(attempt);
      attempt.markSent();
      double decodeMs = type.decodeMs * (0.25 + 1.5 * fleet.random.nextDouble());
      fleet
          .simulatedServers
          .get(server.id())
          .submit(prompt.totalTokens() / GatewayFleet.TOKENS_PER_MS, decodeMs, this);
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
      if (type != RequestType.BATCH_ITEM && firstTokenAt <= dueAt) {
        onTime.merge(type, 1, Integer::sum);
      }
    }

    @Override
    public void onLastToken() {
      server.load().recordSlotHoldTime(fleet.timers.now() - firstTokenAt);
      attempt.onComplete();
      if (type == RequestType.BATCH_ITEM && fleet.timers.now() <= dueAt) {
        onTime.merge(type, 1, Integer::sum);
      }
    }

    @Override
    public boolean isBatchItem() {
      return type == RequestType.BATCH_ITEM;
    }

    @Override
    public Prompt prompt() {
      return prompt;
    }
  }

  /** Runs the items of the batch jobs that one gateway has accepted. */
  private final class BatchRunner {
    private final Servers gateway;
    private final ArrayDeque<Long> dueTimes = new ArrayDeque<>();

    BatchRunner(Servers gateway) {
      this.gateway = gateway;
      fleet.timers.schedule(BATCH_RUNNER_INTERVAL_MS, this::startItems);
    }

    private void startItems() {
      fleet.timers.schedule(BATCH_RUNNER_INTERVAL_MS, this::startItems);
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
      Request item = new Request(RequestType.BATCH_ITEM, dueAt, () -> dueTimes.add(dueAt));
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

  private void sendInteractiveRequest(RequestType type) {
    sent.merge(type, 1, Integer::sum);
    Servers gateway = fleet.randomGateway();
    Request request = new Request(type, fleet.timers.now() + LATENCY_TARGET_MS, () -> {});
    gateway
        .picker()
        .pick(ROUTE, request.prompt(), Set.of())
        .filter(server -> !gateway.picker().rejects(server, request.prompt(), LATENCY_TARGET_MS))
        .ifPresent(request::sendTo);
  }

  private static double interactiveCapacityPerSecond() {
    double tokens = 0;
    double decodeMs = 0;
    for (RequestType type : RequestType.values()) {
      tokens += type.interactiveShare * type.tokens;
      decodeMs += type.interactiveShare * type.decodeMs;
    }
    return GatewayFleet.capacityPerSecond((int) tokens, (int) decodeMs);
  }

  private void simulate(double load, long seed) {
    fleet = new GatewayFleet(loop.eventLoop(), new SplittableRandom(seed), true);
    for (RequestType type : RequestType.values()) {
      sent.put(type, 0);
      onTime.put(type, 0);
    }
    double perSecond = load * interactiveCapacityPerSecond();
    for (double at = 0; at < DURATION_MS; ) {
      at += -Math.log(1 - fleet.random.nextDouble()) * 1_000 / perSecond;
      RequestType type =
          fleet.random.nextDouble() < RequestType.SHORT_INTERACTIVE.interactiveShare
              ? RequestType.SHORT_INTERACTIVE
              : RequestType.LONG_INTERACTIVE;
      fleet.timers.schedule((long) at, () -> sendInteractiveRequest(type));
    }
    List<BatchRunner> runners = new ArrayList<>();
    fleet.gateways.forEach(gateway -> runners.add(new BatchRunner(gateway)));
    fleet.timers.schedule(BURST_AT_MS, () -> submitJobs(runners));
    fleet.timers.advance(DURATION_MS + 1_000);
  }

  private void submitJobs(List<BatchRunner> runners) {
    for (int job = 0; job < JOBS; job++) {
      BatchRunner runner = runners.get(fleet.random.nextInt(runners.size()));
      for (int item = 0; item < ITEMS_PER_JOB; item++) {
        sent.merge(RequestType.BATCH_ITEM, 1, Integer::sum);
        runner.dueTimes.add(fleet.timers.now() + ITEM_DEADLINE_MS);
      }
    }
  }

  private double onTimeShare(RequestType type) {
    return (double) onTime.get(type) / sent.get(type);
  }

  @ParameterizedTest
  @ValueSource(doubles = {0.5, 0.8, 1.0, 1.3})
  void batchItemsAreNotServedBetterThanInteractiveRequests(double load) {
    for (long seed = 1; seed <= 3; seed++) {
      simulate(load, seed);
      System.out.printf(
          "load %.1f, seed %d: on time %.3f of short, %.3f of long requests, %.3f of items%n",
          load,
          seed,
          onTimeShare(RequestType.SHORT_INTERACTIVE),
          onTimeShare(RequestType.LONG_INTERACTIVE),
          onTimeShare(RequestType.BATCH_ITEM));
      assertThat(sent.get(RequestType.BATCH_ITEM), greaterThan(0));
      for (RequestType interactive :
          List.of(RequestType.SHORT_INTERACTIVE, RequestType.LONG_INTERACTIVE)) {
        assertThat(
            "lead of batch items over " + interactive + " at " + load + ", seed " + seed,
            onTimeShare(RequestType.BATCH_ITEM) - onTimeShare(interactive),
            lessThanOrEqualTo(MAX_ITEM_LEAD));
      }
    }
  }
}
