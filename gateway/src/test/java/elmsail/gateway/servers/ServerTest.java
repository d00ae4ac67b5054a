package elmsail.gateway.servers;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import elmsail.config.ServerEntry;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;

/** Tests the health and load of a server with explicit timestamps. */
class ServerTest {
  private final Server server =
      new Server(
          new ServerEntry("i-1", "s", "127.0.0.1:1", "z", 24, false, 0),
          1_000,
          new OutlierDetector());

  private static final class TestRequest extends NoOpRequest {
    private final boolean item;

    TestRequest(boolean item) {
      this.item = item;
    }

    @Override
    public Prompt prompt() {
      return Prompt.parse("s:300,o:500", null);
    }

    @Override
    public boolean isBatchItem() {
      return item;
    }
  }

  private Attempt startAttempt(long now, boolean item) {
    TestRequest request = new TestRequest(item);
    Attempt attempt = new Attempt(server, request, request, now);
    server.onAttemptStarted(attempt);
    attempt.markSent();
    return attempt;
  }

  private static HttpResponse head() {
    return new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
  }

  @Test
  void failuresAreBackedOffExponentiallyUntilAResponse() {
    server.recordFailure(1_000);
    assertThat(server.health().isSuspect(1_249), is(true));
    assertThat(server.health().isSuspect(1_250), is(false));
    assertThat(server.health().isConnectionDoubtful(5_000), is(true));
    server.recordFailure(2_000);
    assertThat(server.health().isSuspect(2_499), is(true));
    for (int i = 0; i < 10; i++) {
      server.recordFailure(10_000L * (i + 1));
    }
    assertThat(server.health().isSuspect(102_999), is(true));
    assertThat(server.health().isSuspect(103_000), is(false));
    server.health().recordResponse(102_000);
    assertThat(server.health().isSuspect(102_000), is(false));
    assertThat(server.health().isConnectionDoubtful(102_000), is(false));
  }

  @Test
  void secondBrokenResponseCountsAsAFailure() {
    server.recordBrokenResponse(1_000);
    assertThat(server.health().isSuspect(1_000), is(false));
    server.health().recordResponse(1_001);
    server.recordBrokenResponse(1_002);
    assertThat(server.health().isSuspect(1_002), is(false));
    server.recordBrokenResponse(1_003);
    assertThat(server.health().isSuspect(1_003), is(true));
  }

  @Test
  void inactivityWithOpenRequestsMakesTheServerSuspect() {
    assertThat(server.health().isSuspect(9_000), is(false));
    Attempt attempt = startAttempt(1_000, false);
    assertThat(server.health().isSuspect(1_000 + ServerHealth.SUSPECT_AFTER_MS), is(false));
    assertThat(server.health().isSuspect(1_001 + ServerHealth.SUSPECT_AFTER_MS), is(true));
    server.health().recordBytes(1_400);
    assertThat(server.health().isSuspect(1_001 + ServerHealth.SUSPECT_AFTER_MS), is(false));
    assertThat(
        server.health().isUnresponsive(1_401 + ServerHealth.UNRESPONSIVE_AFTER_MS), is(true));
    attempt.timedOut(2_900);
    assertThat(server.openAttempts().size(), is(0));
    assertThat(server.health().isSuspect(3_000), is(true));
  }

  @Test
  void timeoutWhileTheServerSendsBytesIsIgnored() {
    Attempt attempt = startAttempt(1_000, false);
    server.health().recordBytes(2_900);
    attempt.timedOut(3_000);
    assertThat(server.health().isSuspect(3_000), is(false));
  }

  @Test
  void reportedLoadIsParsedAndAges() {
    server.load().recordReport("10,4,24", 1_000);
    assertThat(server.load().runningRequests(1_000), is(closeTo(10, 1e-9)));
    assertThat(server.load().queuedRequests(1_000), is(closeTo(4, 1e-9)));
    assertThat(server.load().queuedRequests(1_200), is(closeTo(2, 1e-9)));
    assertThat(server.load().runningRequests(30_000), is(lessThan(1.0)));
    startAttempt(1_000, false);
    assertThat(server.load().runningRequests(1_000), is(closeTo(11, 1e-9)));
    assertThat(server.load().runningRequests(90_000), is(closeTo(1, 0.5)));
  }

  @Test
  void malformedLoadIsIgnored() {
    server.load().recordReport("x", 1_000);
    server.load().recordReport("1,2", 1_000);
    server.load().recordReport("a,b,c", 1_000);
    assertThat(server.load().runningRequests(1_000), is(closeTo(0, 1e-9)));
  }

  @Test
  void prefillTokensAreCountedUntilTheResponseStarts() {
    Attempt attempt = startAttempt(1_000, false);
    assertThat(server.load().ownLoad().pendingPrefillTokens(), is(500));
    attempt.onHead(head());
    assertThat(server.load().ownLoad().pendingPrefillTokens(), is(0));
    attempt.cancel();
    assertThat(server.load().ownLoad().pendingPrefillTokens(), is(0));
    startAttempt(1_000, false).cancel();
    assertThat(server.load().ownLoad().pendingPrefillTokens(), is(0));
    assertThat(server.openAttempts().size(), is(0));
  }

  @Test
  void itemCapacityFollowsReportedLoadStartIntervalAndHealth() {
    assertThat(server.availableItemCapacity(1_000), is(12));
    server.load().recordReport("12,0,24", 1_000);
    assertThat(server.availableItemCapacity(1_000), is(4));
    server.load().recordReport("20,0,24", 1_000);
    assertThat(server.availableItemCapacity(1_000), is(0));
    server.load().recordReport("2,3,24", 1_000);
    assertThat(server.availableItemCapacity(1_000), is(0));
    server.load().recordReport("0,0,24", 1_000);
    startAttempt(1_000, true);
    assertThat("minimum interval between item starts", server.availableItemCapacity(1_079), is(0));
    assertThat(server.availableItemCapacity(1_080), is(11));
    server.health().recordMisdirected();
    assertThat(
        "another server responds at its address", server.availableItemCapacity(1_080), is(0));
    server.markRemoved();
    assertThat(server.availableItemCapacity(1_000), is(0));
  }

  @Test
  void keepAliveTimeoutIsParsed() {
    assertThat(KeepAlive.timeoutMs("timeout=9"), is(9_000L));
    assertThat(KeepAlive.timeoutMs("max=3, timeout=2"), is(2_000L));
    assertThat(KeepAlive.timeoutMs("timeout=x"), is(0L));
    assertThat(KeepAlive.timeoutMs("max=3"), is(1_000L));
  }
}
