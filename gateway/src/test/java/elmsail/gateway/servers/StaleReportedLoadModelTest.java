package elmsail.gateway.servers;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;

import elmsail.config.Route;
import elmsail.runtime.NettyEventLoop;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Simulates many gateways in front of servers that report their load. Each gateway receives
 * responses of a server so rarely that the last report is old when the next request is sent. The
 * loads that the gateways share are newer and must be used.
 */
class StaleReportedLoadModelTest {
  private static final long DURATION_MS = 10_000;
  private static final long LATENCY_TARGET_MS = 300;
  private static final int GATEWAYS_PER_ZONE = 20;

  /** Number of requests that arrive at the same time. */
  private static final int BURST_SIZE = 3;

  /**
   * Mean number of prompt tokens of a request; {@code MEAN_DECODE_MS} is its mean time from the
   * first token to the last.
   */
  private static final int MEAN_TOKENS = 1_700;

  private static final int MEAN_DECODE_MS = 160;

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
  private GatewayFleet fleet;
  private int sent;
  private int onTime;

  @AfterEach
  void close() {
    loop.shutdown();
  }

  /** One client's request, sent once. */
  private final class Request extends NoOpRequest implements SimulatedServer.Client {
    private final Prompt prompt;
    private final long sentAt = fleet.timers.now();
    private Server server;
    private Attempt attempt;
    private long firstTokenAt;

    Request() {
      int tokens = 300 + fleet.random.nextInt(2 * (MEAN_TOKENS - 300));
      int prefixId = fleet.random.nextInt(400);
      prompt = Prompt.parse("top:100,p" + prefixId + ":100,own:" + (tokens - 200), null);
    }

    void send() {
      sent++;
      Servers gateway = fleet.randomGateway();
      server = gateway.picker().pick(ROUTE, prompt, Set.of()).orElseThrow();
      if (gateway.picker().rejects(server, prompt, LATENCY_TARGET_MS)) {
        return;
      }
      attempt = new Attempt(server, this, this, sentAt);
      server.onAttemptStarted(attempt);
      attempt.markSent();
      double decodeMs = MEAN_DECODE_MS * (0.25 + 1.5 * fleet.random.nextDouble());
      simulatedServer().submit(prompt.totalTokens() / GatewayFleet.TOKENS_PER_MS, decodeMs, this);
    }

    private SimulatedServer simulatedServer() {
      return fleet.simulatedServers.get(server.id());
    }

    @Override
    public void onRejected() {
      server.load().recordReport(simulatedServer().loadHeader(), fleet.timers.now());
      attempt.cancel();
    }

    @Override
    public void onFirstToken() {
      firstTokenAt = fleet.timers.now();
      server.health().recordResponse(firstTokenAt);
      server.load().recordReport(simulatedServer().loadHeader(), firstTokenAt);
      attempt.onHead(OK);
      onTime += firstTokenAt - sentAt <= LATENCY_TARGET_MS ? 1 : 0;
    }

    @Override
    public void onLastToken() {
      server.load().recordSlotHoldTime(fleet.timers.now() - firstTokenAt);
      attempt.onComplete();
    }

    @Override
    public Prompt prompt() {
      return prompt;
    }
  }

  /**
   * The share of requests whose first token is on time if the load is the given share of the
   * capacity.
   */
  private double onTimeShare(double load, long seed, boolean sharesLoads) {
    fleet =
        new GatewayFleet(
            loop.eventLoop(), new SplittableRandom(seed), sharesLoads, GATEWAYS_PER_ZONE);
    sent = 0;
    onTime = 0;
    double perSecond = load * GatewayFleet.capacityPerSecond(MEAN_TOKENS, MEAN_DECODE_MS);
    double at = 0;
    while (at < DURATION_MS) {
      at += -Math.log(1 - fleet.random.nextDouble()) * 1_000 * BURST_SIZE / perSecond;
      for (int i = 0; i < BURST_SIZE; i++) {
        fleet.timers.schedule((long) at, () -> new Request().send());
      }
    }
    fleet.timers.advance(DURATION_MS + 5_000);
    return (double) onTime / sent;
  }

  @Test
  void staleReportsDoNotHideTheLoadOfOtherGateways() {
    for (double load : new double[] {0.6, 0.8, 0.9, 1.1}) {
      for (long seed = 1; seed <= 3; seed++) {
        double reportsOnly = onTimeShare(load, seed, false);
        double shared = onTimeShare(load, seed, true);
        System.out.printf(
            "load %.1f, seed %d: on time %.3f with reports only, %.3f with shared loads%n",
            load, seed, reportsOnly, shared);
        String scenario = "at " + load + ", seed " + seed;
        assertThat(scenario, shared, greaterThan(reportsOnly - 0.01));
        if (load < 1) {
          assertThat(scenario, shared, greaterThan(0.9));
        }
      }
    }
  }
}
