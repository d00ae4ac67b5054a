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
 * Gateways of three zones before servers that tell no load, some of them slower, by a clock of
 * numbers: the production choice with and without shared loads, beside random choice and an oracle
 * that sees every server as it is.
 */
class ServerSelectionModelTest {
  private enum Choice {
    RANDOM,
    OWN_SIGHT,
    SHARED_LOADS,
    SHARED_WITH_ADMISSION,
    ORACLE
  }

  private static final long DURATION_MS = 10_000;
  private static final long LATENCY_TARGET_MS = 300;

  /** So many requests come at the same moment. */
  private static final int BURST_SIZE = 3;

  /** Of each request: prompt tokens, and ms from the first token to the last. */
  private static final int MEAN_TOKENS = 1_700;

  private static final int MEAN_HOLD_MS = 160;

  private final SplittableRandom chance = new SplittableRandom(5);
  private final List<NettyEventLoop> loops = new ArrayList<>();

  @AfterEach
  void close() {
    loops.forEach(NettyEventLoop::shutdown);
  }

  /** One run: its own clock, servers and gateways. */
  private final class World {
    final Choice choice;
    final GatewayFleet fleet;
    final ManualTimers timers;
    final SplittableRandom draws;
    int requests;
    int inAim;

    World(Choice choice, long seed) {
      this.choice = choice;
      draws = new SplittableRandom(seed);
      NettyEventLoop loop = new NettyEventLoop();
      loops.add(loop);
      boolean sharesLoads = choice == Choice.SHARED_LOADS || choice == Choice.SHARED_WITH_ADMISSION;
      fleet = new GatewayFleet(loop.eventLoop(), draws, sharesLoads);
      timers = fleet.timers;
    }

    /** The share of requests whose first token came in time, at that share of capacity. */
    double shareInAim(double load) {
      double perSecond = load * GatewayFleet.capacityPerSecond(MEAN_TOKENS, MEAN_HOLD_MS);
      double at = 0;
      while (at < DURATION_MS) {
        at += -Math.log(1 - draws.nextDouble()) * 1_000 * BURST_SIZE / perSecond;
        for (int i = 0; i < BURST_SIZE; i++) {
          timers.schedule((long) at, () -> new Request(this).send());
        }
      }
      timers.advance(DURATION_MS + 5_000);
      return (double) inAim / requests;
    }

    private Server pick(Servers gateway, Prompt prompt) {
      return switch (choice) {
        case RANDOM -> {
          List<Server> all = gateway.serversOf("s");
          yield all.get(draws.nextInt(all.size()));
        }
        case ORACLE -> fastest(gateway.serversOf("s"));
        default -> gateway.picker().pick(ROUTE, prompt, Set.of()).orElse(null);
      };
    }

    /** Where the first token would come first, as the server really stands. */
    private Server fastest(List<Server> all) {
      Server best = null;
      double least = Double.POSITIVE_INFINITY;
      for (Server server : all) {
        SimulatedServer model = fleet.models.get(server.id());
        double place =
            Math.max(0, model.openRequests() + 1 - GatewayFleet.SLOTS)
                * (double) MEAN_HOLD_MS
                / GatewayFleet.SLOTS;
        double cost = model.backlogMs() + place + model.openRequests() * 0.1;
        if (cost < least) {
          least = cost;
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
    private final World world;
    private final Prompt prompt;
    private final long since;

    Request(World world) {
      this.world = world;
      int tokens = 300 + world.draws.nextInt(2 * (MEAN_TOKENS - 300));
      int part = world.draws.nextInt(400);
      prompt = Prompt.parse("top:100,p" + part + ":100,own:" + (tokens - 200), null);
      since = world.timers.now();
      world.requests++;
    }

    void send() {
      Servers gateway = world.fleet.anyGateway();
      Server server = world.pick(gateway, prompt);
      boolean admission = world.choice == Choice.SHARED_WITH_ADMISSION;
      if (admission && gateway.picker().rejects(server, prompt, LATENCY_TARGET_MS)) {
        return;
      }
      Attempt attempt = new Attempt(server, this, this, since);
      server.onAttemptStarted(attempt);
      attempt.markSent();
      double hold = MEAN_HOLD_MS * (0.25 + 1.5 * world.draws.nextDouble());
      SimulatedServer.Client client =
          new SimulatedServer.Client() {
            private long firstAt;

            @Override
            public void onRejected() {
              attempt.cancel();
            }

            @Override
            public void onFirstToken() {
              firstAt = world.timers.now();
              server.health().recordResponse(firstAt);
              attempt.onHead(OK);
              world.inAim += world.timers.now() - since <= LATENCY_TARGET_MS ? 1 : 0;
            }

            @Override
            public void onEnded() {
              server.load().recordSlotHoldTime(world.timers.now() - firstAt);
              attempt.onComplete();
            }
          };
      world
          .fleet
          .models
          .get(server.id())
          .submit(prompt.totalTokens() / GatewayFleet.TOKENS_PER_MS, hold, client);
    }

    @Override
    public Prompt prompt() {
      return prompt;
    }
  }

  private static final HttpResponse OK =
      new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);

  private Map<Choice, Double> shares(double load) {
    Map<Choice, Double> shares = new EnumMap<>(Choice.class);
    long seed = chance.nextLong();
    for (Choice choice : Choice.values()) {
      shares.put(choice, new World(choice, seed).shareInAim(load));
    }
    System.out.printf("choice, share in aim at load %.1f: %s%n", load, shares);
    return shares;
  }

  @Test
  void sharedLoadsServeNearlyAsManyOnTimeAsAnOracle() {
    for (double load : new double[] {0.5, 0.7, 0.8, 0.9}) {
      Map<Choice, Double> shares = shares(load);
      double shared = shares.get(Choice.SHARED_LOADS);
      assertThat("at " + load, shared, greaterThan(shares.get(Choice.ORACLE) - 0.04));
      assertThat("at " + load, shared, greaterThan(shares.get(Choice.OWN_SIGHT) - 0.01));
    }
  }

  /** Nobody comes back in this model: what is refused is lost. */
  @Test
  void admittedRequestsAreServedOnTimeBeyondCapacity() {
    for (double load : new double[] {1.0, 1.1, 1.3}) {
      Map<Choice, Double> shares = shares(load);
      double admitted = shares.get(Choice.SHARED_WITH_ADMISSION);
      // At capacity itself hardly anything has to be refused.
      double gain = load > 1 ? 0.05 : -0.01;
      assertThat("at " + load, admitted, greaterThan(shares.get(Choice.SHARED_LOADS) + gain));
      assertThat("at " + load, admitted, greaterThan(0.85 / load));
    }
  }
}
