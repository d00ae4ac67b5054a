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
 * Many gateways before one service of which some servers err at once, by a clock of numbers: the
 * gateways choose by their own selectors and learn from answers alone.
 */
class OutlierEjectionModelTest {
  private static final int GATEWAYS = 59;
  private static final int REQUESTS_PER_SECOND = 7;

  /** All serve for so long, and then some err until the end. */
  private static final long CALM_MS = 2_000;

  private static final long DURATION_MS = 6_000;
  private static final long SERVICE_TIME_MS = 60;
  private static final long ERROR_MS = 1;
  private static final int MAX_CONCURRENCY = 8;
  private static final int REQUESTS_PER_GATEWAY = (int) (DURATION_MS * REQUESTS_PER_SECOND / 1_000);

  /**
   * What may not be repeated finds a server out at its first error, once more by the late probe 3 s
   * after it, and not again before 7 s.
   */
  private static final int ERRORS_PER_GATEWAY_AND_SERVER = 2;

  private static final double MAX_RATIO_TO_BASELINE = 0.6;

  private final NettyEventLoop loop = new NettyEventLoop();
  private final ManualTimers timers = new ManualTimers();
  private final FakeClusterState known = new FakeClusterState();
  private final SplittableRandom chance = new SplittableRandom(11);
  private int[] running;
  private int errors;
  private int requests;
  private int servedByErring;

  @AfterEach
  void close() {
    loop.shutdown();
  }

  /** What differs between runs. */
  private record Scenario(
      int servers, int erring, double errorShare, double repeatableShare, boolean detecting) {}

  private double errorShare(Scenario scenario) {
    errors = 0;
    requests = 0;
    servedByErring = 0;
    running = new int[scenario.servers()];
    List<ServerEntry> entries = new ArrayList<>();
    for (int i = 0; i < scenario.servers(); i++) {
      entries.add(new ServerEntry("i-" + i, "s", "127.0.0.1:1", "z", MAX_CONCURRENCY, false, 0));
    }
    known.servers = entries;
    long intervalMs = 1_000 / REQUESTS_PER_SECOND;
    for (int g = 0; g < GATEWAYS; g++) {
      Servers servers =
          new Servers(
              timers,
              loop.eventLoop(),
              known,
              "z",
              new RequestCounters(new Counters()),
              chance.split());
      long offset = chance.nextLong(intervalMs);
      for (long at = offset; at < CALM_MS + DURATION_MS; at += intervalMs) {
        boolean repeatable = chance.nextDouble() < scenario.repeatableShare();
        boolean calm = at < CALM_MS;
        timers.schedule(at, () -> new Request(servers, scenario, repeatable, calm).send());
      }
    }
    timers.advance(CALM_MS + DURATION_MS + 10 * SERVICE_TIME_MS);
    return (double) errors / requests;
  }

  /** One request of a client, which is sent to two servers at most. */
  private final class Request extends NoOpRequest {
    private final Servers servers;
    private final Scenario scenario;
    private final boolean repeatable;
    private final boolean calm;
    private final Set<Server> attempted = new HashSet<>();

    Request(Servers servers, Scenario scenario, boolean repeatable, boolean calm) {
      this.servers = servers;
      this.calm = calm;
      this.scenario = scenario;
      this.repeatable = repeatable;
      requests += calm ? 0 : 1;
    }

    void send() {
      boolean retried = repeatable && attempted.isEmpty();
      SelectionMode mode = retried ? SelectionMode.PROBE_PREFERRED : SelectionMode.NOT_RETRYABLE;
      mode = attempted.isEmpty() ? mode : SelectionMode.AFTER_ERROR;
      Server server =
          servers.picker().pick(route(repeatable), Prompt.NONE, attempted, mode).orElseThrow();
      attempted.add(server);
      Attempt attempt = new Attempt(server, this, this, timers.now());
      server.onAttemptStarted(attempt);
      attempt.markSent();
      int index = Integer.parseInt(server.id().substring(2));
      boolean errs =
          !calm && index < scenario.erring() && chance.nextDouble() < scenario.errorShare();
      running[index]++;
      servedByErring += !calm && index < scenario.erring() ? 1 : 0;
      timers.schedule(
          errs ? ERROR_MS : SERVICE_TIME_MS, () -> answer(attempt, index, errs ? 500 : 200));
    }

    private void answer(Attempt attempt, int index, int status) {
      running[index]--;
      HttpResponse head =
          new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
      head.headers().set(Headers.POSTMARK, "p");
      Server server = attempt.server();
      server.health().recordResponse(timers.now());
      server.load().recordReport(running[index] + ",0," + MAX_CONCURRENCY, timers.now());
      if (scenario.detecting()) {
        attempt.recordResult(head, timers.now());
      }
      attempt.onHead(head);
      attempt.onComplete();
      if (status != 500) {
        return;
      }
      Server other =
          scenario.detecting() && repeatable && attempted.size() == 1
              ? servers.picker().pick(route(true), Prompt.NONE, attempted).orElse(null)
              : null;
      if (other != null && !servers.picker().isUnhealthy(other)) {
        send();
      } else {
        errors++;
      }
    }
  }

  private static Route route(boolean repeatable) {
    Route.Kind kind = repeatable ? Route.Kind.SAFE : Route.Kind.UNSAFE;
    List<Route.WeightedService> shares = List.of(new Route.WeightedService("s", 1));
    return new Route("r", "h", "/r/", kind, 1_000, 100, 0, shares, 2, false, 0, 0, 0, 0);
  }

  private void compared(String what, Scenario after, double mostAfter) {
    Scenario without =
        new Scenario(
            after.servers(), after.erring(), after.errorShare(), after.repeatableShare(), false);
    double before = errorShare(without);
    double now = errorShare(after);
    System.out.printf("%s: errors before %.4f, after %.4f%n", what, before, now);
    assertThat(what, now, is(lessThan(mostAfter)));
    assertThat(what, now, is(lessThan(before * MAX_RATIO_TO_BASELINE)));
  }

  @Test
  void fourOfThirtyOneServersAlwaysErrMostErrorsAreAvoided() {
    double most = 4.0 * ERRORS_PER_GATEWAY_AND_SERVER / REQUESTS_PER_GATEWAY;
    compared("4 of 31, none repeatable", new Scenario(31, 4, 1, 0, true), most);
    compared("4 of 31, half repeatable", new Scenario(31, 4, 1, 0.5, true), 0.06);
    compared("4 of 31, all repeatable", new Scenario(31, 4, 1, 1, true), 0.01);
  }

  @Test
  void oneOfTwoServersErrsAtTimesErrorsAreReduced() {
    compared("1 of 2 at 40 %, half repeatable", new Scenario(2, 1, 0.4, 0.5, true), 0.1);
    assertThat("it is not shut out", servedByErring, is(greaterThan(requests / 50)));
  }

  @Test
  void allServersErrNoneIsShutOut() {
    double share = errorShare(new Scenario(2, 2, 1, 0.5, true));
    assertThat("each request was sent", share, is(1.0));
  }
}
