package elmsail.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import elmsail.batch.BatchService.Reply;
import elmsail.gateway.RawConnection.Message;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * HTTP behavior of the gateway toward clients and the platform: readiness, rejected requests,
 * timeouts, pipelining, batch calls and graceful shutdown.
 */
class GatewayHttpTest extends GatewaySocketTest {
  /** Five sixths of the harness's grace period of 8 s. */
  private static final long FIVE_SIXTHS_OF_GRACE_MS = 6_660;

  private static final long LONG_TIMEOUT_MS = 20_000;

  private Message probeReadiness() {
    try (RawConnection connection = RawConnection.connect(harness.gateway.readinessAddress())) {
      return connection.write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").readMessage();
    }
  }

  @Test
  void readyOnlyWithConfigAndServers() throws Exception {
    assertThat(probeReadiness().status(), is(200));
    harness.setServers(List.of());
    assertThat(probeReadiness().status(), is(503));
    harness.listServers(harness.firstServer);
    harness.clusterState.configured = false;
    assertThat(probeReadiness().status(), is(503));
  }

  @Test
  void servesMetricsOnTheReadinessAddress() throws Exception {
    harness.request("nowhere", "a1").readMessage();
    String metricsRequest = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
    try (RawConnection connection = RawConnection.connect(harness.gateway.readinessAddress())) {
      Message metrics = connection.write(metricsRequest).readMessage();
      assertThat(metrics.status(), is(200));
      assertThat(metrics.body(), containsString("# TYPE elmsail_requests_no_route counter\n"));
      assertThat(metrics.body(), containsString("elmsail_requests_no_route 1\n"));
    }
    harness.setServers(List.of());
    assertThat("not ready without servers", probeReadiness().status(), is(503));
    try (RawConnection connection = RawConnection.connect(harness.gateway.readinessAddress())) {
      assertThat(
          "metrics are also served while not ready",
          connection.write(metricsRequest).readMessage().status(),
          is(200));
    }
    try (RawConnection connection = RawConnection.connect(harness.gateway.readinessAddress())) {
      String postRequest = "POST /metrics HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
      assertThat(connection.write(postRequest).readMessage().status(), is(405));
    }
  }

  @Test
  void requestBeforeTheFirstConfigIsRejectedWithRetryAfter() {
    harness.clusterState.configured = false;
    Message response = harness.request("nowhere", "a1").readMessage();
    assertThat(response.status(), is(503));
    assertThat(response.header("Retry-After"), is(notNullValue()));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "404 | POST /nowhere/x HTTP/1.1~Host: nony24.example~Elmsail-Request-Id: a~Content-Length: 0~~",
        "404 | POST /safe/x HTTP/1.1~Host: other.example~Elmsail-Request-Id: a~Content-Length: 0~~",
        "400 | POST /safe/x HTTP/1.1~Elmsail-Request-Id: a~Content-Length: 0~~",
        "400 | POST /safe/x HTTP/1.1~Host: a~Host: b~Elmsail-Request-Id: a~Content-Length: 0~~",
        "400 | POST /safe/x HTTP/1.1~Host: nony24.example~Content-Length: 0~~",
        "400 | POST /safe/x HTTP/1.1~Host: nony24.example~Content-Length: 1~Content-Length: 2~~a",
        "400 | POST /safe/x HTTP/1.1~Host: nony24.example~Content-Length: 1~Transfer-Encoding: chunked~~a",
        "400 | POST /safe/x HTTP/1.1~Host nony24.example~~",
        "413 | POST /safe/x HTTP/1.1~Host: nony24.example~Elmsail-Request-Id: a~Content-Length: 4097~~",
        "413 | POST /safe/x HTTP/1.1~Host: nony24.example~Elmsail-Request-Id: a~"
            + "Transfer-Encoding: chunked~~1fff~"
      })
  void invalidRequestIsRejectedAndNotForwarded(int status, String request) {
    RawConnection client =
        harness
            .connectClient()
            .write(
                request.replace("~", "\r\n")
                    + (request.contains("1fff") ? "x".repeat(0x1fff) : ""));
    assertThat(client.readMessage().status(), is(status));
    assertThat(harness.firstServer.hasNoConnection(), is(true));
  }

  @Test
  void tooLongHeadIsRejected() {
    RawConnection client =
        harness
            .connectClient()
            .write("POST /safe/x HTTP/1.1\r\nX: " + "y".repeat(4_000) + "\r\n\r\n");
    assertThat(client.readMessage().status(), is(431));
  }

  @Test
  void slowRequestTimesOut() {
    RawConnection client = harness.connectClient().write("POST /safe/x HTTP/1.1\r\nHo");
    // The first advance may happen before the partial request is read; the second one happens
    // after.
    harness.timers.advance(3_100);
    assertThat(harness.request("nowhere", "a").readMessage().status(), is(404));
    harness.timers.advance(3_100);
    Message response = client.readMessage();
    assertThat(response.status(), is(408));
    assertThat(response.header("Connection"), is("close"));
  }

  @Test
  void idleConnectionOutlivesItsAnnouncedKeepAlive() {
    RawConnection client = harness.request("nowhere", "a1");
    assertThat(client.readMessage().header("Keep-Alive"), is("timeout=14"));
    harness.timers.advance(14_500);
    client.write(GatewayTestHarness.requestText("nowhere", "a2"));
    assertThat(client.readMessage().status(), is(404));
    harness.timers.advance(17_000);
    assertThat(client.isClosedByPeer(), is(true));
  }

  /** A connection on which the head or body of a request is still arriving is not idle. */
  @Test
  void requestStartedBeforeTheIdleTimeoutIsServed() {
    harness.timers.stopRealTime();
    String text = GatewayTestHarness.requestText("unsafe", "a2");
    for (int cut : new int[] {1, 30, text.length() - 2}) {
      RawConnection client = harness.request("nowhere", "a1");
      assertThat(client.readMessage().status(), is(404));
      harness.timers.advance(14_000);
      client.write(text.substring(0, cut));
      // After this response the gateway has read the partial request, which was sent earlier.
      assertThat(harness.request("nowhere", "a9").readMessage().status(), is(404));
      harness.timers.advance(2_500);
      client.write(text.substring(cut));
      RawConnection server = harness.firstServer.accept();
      server.readMessage();
      server.write(
          GatewayTestHarness.response(
              200, "a2", "two", "Elmsail-Postmark: p", "Connection: close"));
      assertThat("cut at " + cut, client.readMessage().body(), is("two"));
    }
  }

  @Test
  void requestLongerThanTheIdleTimeoutIsAnswered() {
    harness.timers.stopRealTime();
    harness.clusterState.setRouteTimeoutMs(60_000);
    for (String route : new String[] {"safe", "unsafe", "stream"}) {
      RawConnection client = harness.request("nowhere", "a1");
      assertThat(client.readMessage().status(), is(404));
      client.write(GatewayTestHarness.requestText(route, "a2"));
      RawConnection server = harness.firstServer.accept();
      server.readMessage();
      for (int i = 0; i < 6; i++) {
        harness.timers.advance(3_000);
      }
      server.write(
          GatewayTestHarness.response(
              200, "a2", "two", "Elmsail-Postmark: p", "Connection: close"));
      assertThat(route, client.readMessage().body(), is("two"));
    }
  }

  /** The shutdown closes idle connections, but not one whose request was just forwarded. */
  @Test
  void requestForwardedDuringShutdownIsAnswered() throws Exception {
    harness.timers.stopRealTime();
    RawConnection client = harness.request("nowhere", "a1");
    assertThat(client.readMessage().status(), is(404));
    CompletableFuture<Void> stopped = harness.onLoop(harness.gateway::stop);
    harness.timers.advance(2_400);
    client.write(GatewayTestHarness.requestText("unsafe", "a2"));
    RawConnection server = harness.firstServer.accept();
    server.readMessage();
    harness.timers.advance(200);
    server.write(GatewayTestHarness.okResponse("a2", "two"));
    Message response = client.readMessage();
    assertThat(response.body(), is("two"));
    assertThat(response.header("Connection"), is("close"));
    advanceUntilDone(stopped);
  }

  private void advanceUntilDone(CompletableFuture<Void> stopped) {
    for (int ms = 0; ms < LONG_TIMEOUT_MS && !stopped.isDone(); ms += 20) {
      harness.timers.advance(20);
    }
    assertThat(stopped.isDone(), is(true));
  }

  /** Bytes that a client sends after a request with {@code Connection: close} are not forwarded. */
  @Test
  void bytesAfterTheLastRequestAreNotForwarded() throws Exception {
    RawConnection client =
        harness
            .request("unsafe", "a1", "Connection: close")
            .write(GatewayTestHarness.requestText("unsafe", "a2"));
    RawConnection server = harness.firstServer.accept();
    server.readMessage();
    server.write(GatewayTestHarness.okResponse("a1", "one"));
    assertThat(client.readMessage().body(), is("one"));
    assertThat(client.isClosedByPeer(), is(true));
    assertThat(harness.onLoop(() -> harness.firstServer.hasNoConnection()), is(true));
  }

  @Test
  void pipelinedRequestsAreAnsweredInOrder() {
    RawConnection client =
        harness
            .connectClient()
            .write(
                GatewayTestHarness.requestText("unsafe", "a1")
                    + GatewayTestHarness.requestText("unsafe", "a2")
                    + GatewayTestHarness.requestText("nowhere", "a3"));
    RawConnection server = harness.firstServer.accept();
    server.readMessage();
    server.write(
        GatewayTestHarness.response(200, "a1", "one", "Elmsail-Postmark: p", "Connection: close"));
    assertThat(client.readMessage().body(), is("one"));
    RawConnection next = harness.firstServer.accept();
    assertThat(next.readMessage().header("Elmsail-Request-Id"), is("a2"));
    next.write(GatewayTestHarness.okResponse("a2", "two"));
    assertThat(client.readMessage().body(), is("two"));
    assertThat(client.readMessage().status(), is(404));
  }

  @Test
  void connectionCloseHeaderIsHonoured() {
    RawConnection client = harness.request("nowhere", "a1", "Connection: close");
    Message response = client.readMessage();
    assertThat(response.header("Connection"), is("close"));
    assertThat(client.isClosedByPeer(), is(true));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "POST /sack/x | submit sack L1 4",
        "GET /lots/L7?after=12 | read L7 12 900",
        "GET /lots/L7 | read L7 0 900",
        "DELETE /lots/L7 | cancel L7",
        "GET /items/L7?id=e5 | item L7 e5"
      })
  void batchCallsAreDispatched(String call, String expectedCall) {
    harness.batchCalls.reply = new Reply(200, "{}".getBytes(StandardCharsets.US_ASCII), 0);
    RawConnection client =
        harness
            .connectClient()
            .write(
                call
                    + " HTTP/1.1\r\nHost: "
                    + FakeClusterState.HOST
                    + "\r\nElmsail-Request-Id: L1\r\nElmsail-Wait-Ms: 900\r\nContent-Length: 4\r\n\r\nbody");
    Message response = client.readMessage();
    assertThat(response.status(), is(200));
    assertThat(response.body(), is("{}"));
    assertThat(harness.batchCalls.lastCall, is(expectedCall));
  }

  @Test
  void unknownBatchOutcomeClosesTheConnectionWithoutResponse() {
    harness.batchCalls.reply = new Reply(0, new byte[0], 0);
    assertThat(harness.request("sack", "L1").readMessage(), is(nullValue()));
  }

  @Test
  void rejectedJobGetsRetryAfter() {
    harness.batchCalls.reply = new Reply(429, new byte[0], 0.25);
    Message response = harness.request("sack", "L1").readMessage();
    assertThat(response.status(), is(429));
    assertThat(response.header("Retry-After"), is("0.25"));
  }

  @Test
  void openAndNewRequestsAreServedWhileDraining() throws Exception {
    RawConnection busy = harness.request("stream", "a1");
    RawConnection idle = harness.request("nowhere", "a0");
    idle.readMessage();
    RawConnection server = harness.firstServer.accept();
    server.readMessage();
    server
        .write(GatewayTestHarness.streamHead("a1", "p"))
        .write(GatewayTestHarness.chunk(GatewayTestHarness.event(0)));
    busy.readHead();
    busy.readChunk();
    CompletableFuture<Void> stopped = harness.onLoop(harness.gateway::stop);
    assertThat(probeReadiness().status(), is(503));
    Message response = idle.write(GatewayTestHarness.requestText("nowhere", "a2")).readMessage();
    assertThat(response.status(), is(404));
    assertThat(response.header("Connection"), is("close"));
    assertThat(idle.isClosedByPeer(), is(true));
    RawConnection late = harness.request("nowhere", "a3");
    assertThat(late.readMessage().status(), is(404));
    RawConnection silent = harness.connectClient();
    harness.timers.advance(2_600);
    assertThat(silent.isClosedByPeer(), is(true));
    server.write(GatewayTestHarness.chunk(GatewayTestHarness.event(1))).write("0\r\n\r\n");
    assertThat(busy.readChunk(), is(GatewayTestHarness.event(1)));
    assertThat(busy.readChunk(), is(""));
    stopped.get(RawConnection.WAIT_MS, TimeUnit.MILLISECONDS);
  }

  @Test
  void shutdownEndsSoonAfterFiveSixthsOfTheGracePeriod() throws Exception {
    harness.clusterState.setRouteTimeoutMs(LONG_TIMEOUT_MS);
    RawConnection busy = harness.request("stream", "a1");
    RawConnection server = harness.firstServer.accept();
    server.readMessage();
    CompletableFuture<Void> stopped = harness.onLoop(harness.gateway::stop);
    harness.timers.advance(2_600);
    harness.timers.advance(FIVE_SIXTHS_OF_GRACE_MS - 2_600);
    assertThat(harness.onLoop(stopped::isDone), is(false));
    harness.timers.advance(300);
    stopped.get(RawConnection.WAIT_MS, TimeUnit.MILLISECONDS);
    assertThat(busy.readMessage(), is(nullValue()));
  }

  /**
   * On routes of each kind, servers respond just before the last sixth of the grace period begins.
   */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "unsafe", "stream", "resume"})
  void responseBeforeTheLastSixthOfTheGracePeriodIsRelayedComplete(String route) throws Exception {
    harness.clusterState.setRouteTimeoutMs(LONG_TIMEOUT_MS);
    RawConnection before = harness.request(route, "a1");
    RawConnection first = harness.firstServer.accept();
    first.readMessage();
    harness.timers.stopRealTime();
    CompletableFuture<Void> stopped = harness.onLoop(harness.gateway::stop);
    harness.timers.advance(2_400);
    RawConnection during = harness.request(route, "a2");
    RawConnection second = harness.firstServer.accept();
    second.readMessage();
    harness.timers.advance(200);
    harness.timers.advance(FIVE_SIXTHS_OF_GRACE_MS - 2_600);
    first.write(GatewayTestHarness.okResponse("a1", "one"));
    second.write(GatewayTestHarness.okResponse("a2", "two"));
    assertThat(before.readMessage().body(), is("one"));
    assertThat(during.readMessage().body(), is("two"));
    advanceUntilDone(stopped);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 40})
  void slowReaderAppliesBackpressureToTheServer(int events) {
    RawConnection client = harness.request("stream", "a1");
    RawConnection server = harness.firstServer.accept();
    server.readMessage();
    server.write(GatewayTestHarness.streamHead("a1", "p"));
    String largeEvent = "id: 0\ndata: " + "z".repeat(4_000) + "\n\n";
    for (int i = 0; i < events; i++) {
      server.write(GatewayTestHarness.chunk(largeEvent));
    }
    server.write("0\r\n\r\n");
    assertThat(client.readMessage().body().length(), is(events * largeEvent.length()));
  }
}
