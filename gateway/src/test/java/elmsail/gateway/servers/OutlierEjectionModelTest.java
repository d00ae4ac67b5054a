package elmsail.gateway.servers;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import elmsail.config.Route;
import elmsail.config.ServerEntry;
import elmsail.gateway.FakeClusterState;
import elmsail.gateway.http.Headers;
import elmsail.gateway.http.RequestCounters;
import elmsail.runtime.Counters;
import elmsail.runtime.ManualTimers;
import elmsail.runtime.NettyEventLoop;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Simulates many gateways in front of one service of which some servers start to return errors at
 * the same time. Each gateway detects the failing servers only by its own responses. Guards against
 * errors that reach clients although healthy servers are available.
 */
class OutlierEjectionModelTest {
  private static final int GATEWAYS = 59;
  private static final int REQUESTS_PER_SECOND = 7;

  /** During this phase all servers are healthy; afterwards some fail until the end. */
  private static final long HEALTHY_PHASE_MS = 2_000;

  private static final long FAILURE_PHASE_MS = 6_000;
  private static final long SERVICE_TIME_MS = 60;
  private static final long ERROR_MS = 1;
  private static final int MAX_CONCURRENCY = 8;
  private static final int REQUESTS_PER_GATEWAY =
      (int) (FAILURE_PHASE_MS * REQUESTS_PER_SECOND / 1_000);

  /**
   * With non-retryable requests only, a gateway receives the first error of a server, and a second
   * one from the probe 3 s later. The next probe would be sent 7 s after the first error, which is
   * after the end of the simulation.
   */
  private static final int MAX_ERRORS_PER_GATEWAY_AND_SERVER = 2;

  private static final double MAX_RATIO_TO_BASELINE = 0.6;

  private final NettyEventLoop loop = new NettyEventLoop();
  private final ManualTimers timers = new ManualTimers();
  private final FakeClusterState clusterState = new FakeClusterState();
  private final SplittableRandom random = new SplittableRandom(11);
  private int[] running;
  private int errors;
  private int requests;
  private int attemptsAtFailingServers;

  @AfterEach
  void close() {
    loop.shutdown();
  }

  /** Parameters of one run. */
  private record Scenario(
      int servers,
      int failingServers,
      double errorProbability,
      double retryableShare,
      boolean detectsOutliers) {}

  private double errorRate(Scenario scenario) {
    errors = 0;
    requests = 0;
    attemptsAtFailingServers = 0;
    running = new int[scenario.servers()];
    List<ServerEntry> entries = new ArrayList<>();
    for (int i = 0; i < scenario.servers(); i++) {
      entries.add(new ServerEntry("i-" + i, "s", "127.0.0.1:1", "z", MAX_CONCURRENCY, false, 0));
    }
    clusterState.servers = entries;
    long intervalMs = 1_000 / REQUESTS_PER_SECOND;
    for (int g = 0; g < GATEWAYS; g++) {
      Servers servers =
          new Servers(
              timers,
              loop.eventLoop(),
              clusterState,
              "z",
              new RequestCounters(new Counters()),
              random.split());
      long offset = random.nextLong(intervalMs);
      for (long at = offset; at < HEALTHY_PHASE_MS + FAILURE_PHASE_MS; at += intervalMs) {
        boolean retryable = random.nextDouble() < scenario.retryableShare();
        boolean inHealthyPhase = at < HEALTHY_PHASE_MS;
        timers.schedule(at, () -> new Request(servers, scenario, retryable, inHealthyPhase).send());
      }
    }
    timers.advance(HEALTHY_PHASE_MS + FAILURE_PHASE_MS + 10 * SERVICE_TIME_MS);
    return (double) errors / requests;
  }

  /** One client request, which is sent to at most two servers. */
  private final class Request extends NoOpRequest {
    private final Servers servers;
    private final Scenario scenario;
    private final boolean retryable;
    private final boolean inHealthyPhase;
    private final Set<Server> attempted = new HashSet<>();

    Request(Servers servers, Scenario scenario, boolean retryable, boolean inHealthyPhase) {
      this.servers = servers;
      this.inHealthyPhase = inHealthyPhase;
      this.scenario = scenario;
      this.retryable = retryable;
      requests += inHealthyPhase ? 0 : 1;
    }

    void send() {
      boolean willRetry = retryable && attempted.isEmpty();
      SelectionMode mode = willRetry ? SelectionMode.PROBE_PREFERRED : SelectionMode.NOT_RETRYABLE;
      mode = attempted.isEmpty() ? mode : SelectionMode.AFTER_ERROR;
      Server server =
          servers.picker().pick(route(retryable), Prompt.NONE, attempted, mode).orElseThrow();
      attempted.add(server);
      Attempt attempt = new Attempt(server, this, this, timers.now());
      server.onAttemptStarted(attempt);
      attempt.markSent();
      int index = Integer.parseInt(server.id().substring(2));
      boolean fails =
          !inHealthyPhase
              && index < scenario.failingServers()
              && random.nextDouble() < scenario.errorProbability();
      running[index]++;
      attemptsAtFailingServers += !inHealthyPhase && index < scenario.failingServers() ? 1 : 0;
      timers.schedule(
          fails ? ERROR_MS : SERVICE_TIME_MS, () -> respond(attempt, index, fails ? 500 : 200));
    }

    private void respond(Attempt attempt, int index, int status) {
      running[index]--;
      HttpResponse head =
          new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
      head.headers().set(Headers.POSTMARK, "p");
      Server server = attempt.server();
      server.health().recordResponse(timers.now());
      server.load().recordReport(running[index] + ",0," + MAX_CONCURRENCY, timers.now());
      if (scenario.detectsOutliers()) {
        attempt.recordResult(head, timers.now());
      }
      attempt.onHead(head);
      attempt.onComplete();
      if (status != 500) {
        return;
      }
      Server other =
          scenario.detectsOutliers() && retryable && attempted.size() == 1
              ? servers.picker().pick(route(true), Prompt.NONE, attempted).orElse(null)
              : null;
      if (other != null && !servers.picker().isUnhealthy(other)) {
        send();
      } else {
        errors++;
      }
    }
  }

  private static Route route(boolean retryable) {
    Route.Kind kind = retryable ? Route.Kind.SAFE : Route.Kind.UNSAFE;
    List<Route.WeightedService> shares = List.of(new Route.WeightedService("s", 1));
    return new Route("r", "h", "/r/", kind, 1_000, 100, 0, shares, 2, false, 0, 0, 0, 0);
  }

  private void assertOutlierDetectionReducesErrors(
      String description, Scenario withDetection, double maxErrorRate) {
    Scenario withoutDetection =
        new Scenario(
            withDetection.servers(),
            withDetection.failingServers(),
            withDetection.errorProbability(),
            withDetection.retryableShare(),
            false);
    double baselineErrorRate = errorRate(withoutDetection);
    double errorRate = errorRate(withDetection);
    System.out.printf(
        "%s: error rate without detection %.4f, with detection %.4f%n",
        description, baselineErrorRate, errorRate);
    assertThat(description, errorRate, is(lessThan(maxErrorRate)));
    assertThat(description, errorRate, is(lessThan(baselineErrorRate * MAX_RATIO_TO_BASELINE)));
  }

  @Test
  void mostErrorsAreAvoidedIfFourOfThirtyOneServersAlwaysFail() {
    double maxErrorRate = 4.0 * MAX_ERRORS_PER_GATEWAY_AND_SERVER / REQUESTS_PER_GATEWAY;
    assertOutlierDetectionReducesErrors(
        "4 of 31, none retryable", new Scenario(31, 4, 1, 0, true), maxErrorRate);
    assertOutlierDetectionReducesErrors(
        "4 of 31, half retryable", new Scenario(31, 4, 1, 0.5, true), 0.06);
    assertOutlierDetectionReducesErrors(
        "4 of 31, all retryable", new Scenario(31, 4, 1, 1, true), 0.01);
  }

  @Test
  void errorsAreReducedIfOneOfTwoServersFailsIntermittently() {
    assertOutlierDetectionReducesErrors(
        "1 of 2 at 40 %, half retryable", new Scenario(2, 1, 0.4, 0.5, true), 0.1);
    assertThat(
        "the failing server still gets requests",
        attemptsAtFailingServers,
        is(greaterThan(requests / 50)));
  }

  @Test
  void everyRequestIsStillSentIfAllServersFail() {
    double errorRate = errorRate(new Scenario(2, 2, 1, 0.5, true));
    assertThat("each request was sent and failed", errorRate, is(1.0));
  }
}
