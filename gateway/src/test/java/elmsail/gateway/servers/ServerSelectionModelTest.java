package elmsail.gateway.servers;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;

import elmsail.config.Route;
import elmsail.runtime.ManualTimers;
import elmsail.runtime.NettyEventLoop;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Simulates gateways in three zones in front of servers that report no load, some of them slower.
 * Compares the production server selection, with and without shared loads, with random selection
 * and with an oracle that uses the actual state of every server.
 */
class ServerSelectionModelTest {
  private enum SelectionStrategy {
    RANDOM,
    OWN_LOADS,
    SHARED_LOADS,
    SHARED_WITH_ADMISSION,
    ORACLE
  }

  private static final long DURATION_MS = 10_000;
  private static final long LATENCY_TARGET_MS = 300;

  /** Number of requests that arrive at the same time. */
  private static final int BURST_SIZE = 3;

  /**
   * Mean number of prompt tokens of a request; {@code MEAN_DECODE_MS} is its mean time from the
   * first token to the last.
   */
  private static final int MEAN_TOKENS = 1_700;

  private static final int MEAN_DECODE_MS = 160;

  private final SplittableRandom seeds = new SplittableRandom(5);
  private final List<NettyEventLoop> loops = new ArrayList<>();

  @AfterEach
  void close() {
    loops.forEach(NettyEventLoop::shutdown);
  }

  /** One run with its own clock, servers and gateways. */
  private final class Simulation {
    final SelectionStrategy strategy;
    final GatewayFleet fleet;
    final ManualTimers timers;
    final SplittableRandom random;
    int requests;
    int onTime;

    Simulation(SelectionStrategy strategy, long seed) {
      this.strategy = strategy;
      random = new SplittableRandom(seed);
      NettyEventLoop loop = new NettyEventLoop();
      loops.add(loop);
      boolean sharesLoads =
          strategy == SelectionStrategy.SHARED_LOADS
              || strategy == SelectionStrategy.SHARED_WITH_ADMISSION;
      fleet = new GatewayFleet(loop.eventLoop(), random, sharesLoads);
      timers = fleet.timers;
    }

    /**
     * The share of requests whose first token is on time if the load is the given share of the
     * capacity.
     */
    double onTimeShare(double load) {
      double perSecond = load * GatewayFleet.capacityPerSecond(MEAN_TOKENS, MEAN_DECODE_MS);
      double at = 0;
      while (at < DURATION_MS) {
        at += -Math.log(1 - random.nextDouble()) * 1_000 * BURST_SIZE / perSecond;
        for (int i = 0; i < BURST_SIZE; i++) {
          timers.schedule((long) at, () -> new Request(this).send());
        }
      }
      timers.advance(DURATION_MS + 5_000);
      return (double) onTime / requests;
    }

    private Server pick(Servers gateway, Prompt prompt) {
      return switch (strategy) {
        case RANDOM -> {
          List<Server> all = gateway.serversOf("s");
          yield all.get(random.nextInt(all.size()));
        }
        case ORACLE -> fastest(gateway.serversOf("s"));
        default -> gateway.picker().pick(ROUTE, prompt, Set.of()).orElse(null);
      };
    }

    /** The server with the earliest first token according to the actual state of the servers. */
    private Server fastest(List<Server> all) {
      Server best = null;
      double lowestCost = Double.POSITIVE_INFINITY;
      for (Server server : all) {
        SimulatedServer simulated = fleet.simulatedServers.get(server.id());
        double slotWaitMs =
            Math.max(0, simulated.openRequests() + 1 - GatewayFleet.SLOTS)
                * (double) MEAN_DECODE_MS
                / GatewayFleet.SLOTS;
        double cost = simulated.prefillBacklogMs() + slotWaitMs + simulated.openRequests() * 0.1;
        if (cost < lowestCost) {
          lowestCost = cost;
          best = server;
        }
      }
      return best;
    }
  }

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

  /** One client's request, sent once. */
  private static final class Request extends NoOpRequest {
    private final Simulation simulation;
    private final Prompt prompt;
    private final long sentAt;

    Request(Simulation simulation) {
      this.simulation = simulation;
      int tokens = 300 + simulation.random.nextInt(2 * (MEAN_TOKENS - 300));
      int prefixId = simulation.random.nextInt(400);
      prompt = Prompt.parse("top:100,p" + prefixId + ":100,own:" + (tokens - 200), null);
      sentAt = simulation.timers.now();
      simulation.requests++;
    }

    void send() {
      Servers gateway = simulation.fleet.randomGateway();
      Server server = simulation.pick(gateway, prompt);
      boolean appliesAdmission = simulation.strategy == SelectionStrategy.SHARED_WITH_ADMISSION;
      if (appliesAdmission && gateway.picker().rejects(server, prompt, LATENCY_TARGET_MS)) {
        return;
      }
      Attempt attempt = new Attempt(server, this, this, sentAt);
      server.onAttemptStarted(attempt);
      attempt.markSent();
      double decodeMs = MEAN_DECODE_MS * (0.25 + 1.5 * simulation.random.nextDouble());
      SimulatedServer.Client client =
          new SimulatedServer.Client() {
            private long firstAt;

            @Override
            public void onRejected() {
              attempt.cancel();
            }

            @Override
            public void onFirstToken() {
              firstAt = simulation.timers.now();
              server.health().recordResponse(firstAt);
              attempt.onHead(OK);
              simulation.onTime += simulation.timers.now() - sentAt <= LATENCY_TARGET_MS ? 1 : 0;
            }

            @Override
            public void onLastToken() {
              server.load().recordSlotHoldTime(simulation.timers.now() - firstAt);
              attempt.onComplete();
            }
          };
      simulation
          .fleet
          .simulatedServers
          .get(server.id())
          .submit(prompt.totalTokens() / GatewayFleet.TOKENS_PER_MS, decodeMs, client);
    }

    @Override
    public Prompt prompt() {
      return prompt;
    }
  }

  private static final HttpResponse OK =
      new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);

  private Map<SelectionStrategy, Double> onTimeShares(double load) {
    Map<SelectionStrategy, Double> shares = new EnumMap<>(SelectionStrategy.class);
    long seed = seeds.nextLong();
    for (SelectionStrategy strategy : SelectionStrategy.values()) {
      shares.put(strategy, new Simulation(strategy, seed).onTimeShare(load));
    }
    System.out.printf("share of requests on time by strategy at load %.1f: %s%n", load, shares);
    return shares;
  }

  @Test
  void sharedLoadsServeNearlyAsManyOnTimeAsAnOracle() {
    for (double load : new double[] {0.5, 0.7, 0.8, 0.9}) {
      Map<SelectionStrategy, Double> shares = onTimeShares(load);
      double shared = shares.get(SelectionStrategy.SHARED_LOADS);
      assertThat("at " + load, shared, greaterThan(shares.get(SelectionStrategy.ORACLE) - 0.04));
      assertThat("at " + load, shared, greaterThan(shares.get(SelectionStrategy.OWN_LOADS) - 0.01));
    }
  }

  /** Clients do not retry in this model: a rejected request counts as not served on time. */
  @Test
  void admittedRequestsAreServedOnTimeBeyondCapacity() {
    for (double load : new double[] {1.0, 1.1, 1.3}) {
      Map<SelectionStrategy, Double> shares = onTimeShares(load);
      double admitted = shares.get(SelectionStrategy.SHARED_WITH_ADMISSION);
      // At a load equal to the capacity hardly any request has to be rejected.
      double gain = load > 1 ? 0.05 : -0.01;
      assertThat(
          "at " + load, admitted, greaterThan(shares.get(SelectionStrategy.SHARED_LOADS) + gain));
      assertThat("at " + load, admitted, greaterThan(0.85 / load));
    }
  }
}
