package elmsail.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import elmsail.config.Route;
import elmsail.gateway.RawConnection.Message;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hamcrest.Matcher;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The rules about what a client may expect: times, headers, leaving, and refusals. */
class RequestHandlingTest extends GatewaySocketTest {
  private static final String DEADLINE = "Elmsail-Deadline-Ms";

  /** Of every route of the rig. */
  private static final int ROUTE_TIMEOUT_MS = 5_000;

  private static int deadlineMs(Message received) {
    return Integer.parseInt(received.header(DEADLINE));
  }

  private static Matcher<Integer> positiveUpTo(int max) {
    return allOf(greaterThan(0), lessThanOrEqualTo(max));
  }

  /** BUDGET: what is left is counted from the client's arrival. */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "resume"})
  void retriedRequestCarriesTheRemainingDeadline(String route) throws Exception {
    harness.listServers(harness.firstServer, harness.secondServer);
    harness.request(route, "a1", DEADLINE + ": 4000");
    RawConnection server = harness.firstServer.accept();
    assertThat(deadlineMs(server.readMessage()), positiveUpTo(4_000));
    harness.timers.advance(1_500);
    server.reset();
    assertThat(deadlineMs(harness.secondServer.accept().readMessage()), positiveUpTo(2_500));
  }

  /** BUDGET: without a deadline that can be read, the route's own time is told. */
  @ParameterizedTest
  @ValueSource(strings = {"X-None: 1", DEADLINE + ": soon", DEADLINE + ": -7", DEADLINE + ":"})
  void routeTimeoutIsSentWithoutAClientDeadline(String header) {
    for (String route : List.of("safe", "unsafe", "stream")) {
      harness.request(route, "a1", header);
      assertThat(
          deadlineMs(harness.firstServer.accept().readMessage()), positiveUpTo(ROUTE_TIMEOUT_MS));
    }
  }

  /** BUDGET: a client's deadline beyond the route's time is cut down to that. */
  @Test
  void deadlineIsCappedAtTheRouteTimeout() {
    harness.request("unsafe", "a1", DEADLINE + ": 600000");
    assertThat(
        deadlineMs(harness.firstServer.accept().readMessage()), positiveUpTo(ROUTE_TIMEOUT_MS));
  }

  /** BUDGET: a request that waits behind another uses up its time meanwhile. */
  @Test
  void pipelinedRequestsDeadlineCountsFromItsArrival() throws Exception {
    RawConnection client =
        harness
            .connectClient()
            .write(
                GatewayTestHarness.requestText("unsafe", "a1", DEADLINE + ": 4000")
                    + GatewayTestHarness.requestText("unsafe", "a2", DEADLINE + ": 4000"));
    RawConnection server = harness.firstServer.acceptRequest();
    harness.timers.advance(3_000);
    harness.onLoop(() -> null); // before the answer comes
    server.write(
        GatewayTestHarness.response(200, "a1", "x", "Elmsail-Postmark: p", "Connection: close"));
    assertThat(client.readMessage().status(), is(200));
    assertThat(deadlineMs(harness.firstServer.accept().readMessage()), positiveUpTo(1_000));
  }

  /** BUDGET: tries bound the servers that got the request. */
  @Test
  void requestReachesNoMoreServersThanItsRoutesAttempts() throws Exception {
    try (RawConnection.FakeServer third = new RawConnection.FakeServer()) {
      harness.listServers(harness.firstServer, harness.secondServer, third);
      RawConnection client = harness.request("safe", "a1");
      for (int attempt = 0; attempt < 2; attempt++) {
        RawConnection server = acceptFromAny(harness.firstServer, harness.secondServer, third);
        server.readMessage();
        server.reset();
      }
      assertThat(client.readMessage().status(), is(502));
      assertThat(
          harness.firstServer.hasNoConnection()
              && harness.secondServer.hasNoConnection()
              && third.hasNoConnection(),
          is(true));
    }
  }

  /** The connection of whichever of these got the next one. */
  private static RawConnection acceptFromAny(RawConnection.FakeServer... fakeServers) {
    for (long end = System.nanoTime() + 5_000_000_000L; System.nanoTime() < end; ) {
      for (RawConnection.FakeServer fakeServer : fakeServers) {
        RawConnection connection = fakeServer.pollConnection();
        if (connection != null) {
          return connection;
        }
      }
    }
    throw new AssertionError("no server got it");
  }

  /** GONE: a client that has sent more behind its request is seen to leave as well. */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "unsafe", "stream", "resume"})
  void disconnectIsNoticedWithPipelinedRequests(String route) {
    harness.clusterState.routes.computeIfPresent(
        "/" + route + "/", (prefix, r) -> routeWith(r, 60_000, 1));
    RawConnection client =
        harness
            .connectClient()
            .write(
                GatewayTestHarness.requestText(route, "a1")
                    + GatewayTestHarness.requestText(route, "a2")
                    + GatewayTestHarness.requestText(route, "a3"));
    RawConnection server = harness.firstServer.acceptRequest();
    client.close();
    assertThat(server.isClosedByPeer(), is(true));
    assertThat("the others are not sent", harness.firstServer.hasNoConnection(), is(true));
  }

  /** GONE: who ends his side alone has left as well. */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "stream", "resume"})
  void clientHalfCloseCountsAsDisconnect(String route) {
    RawConnection client = harness.request(route, "a1");
    RawConnection server = harness.firstServer.acceptRequest();
    client.shutdownOutput();
    assertThat(server.isClosedByPeer(), is(true));
  }

  /** GONE: a stream under way is cut at the server, and is not taken up elsewhere. */
  @Test
  void streamOfADisconnectedClientIsNotResumed() throws Exception {
    harness.listServers(harness.firstServer, harness.secondServer);
    RawConnection client = harness.request("resume", "a1");
    RawConnection server = harness.firstServer.acceptRequest();
    server
        .write(GatewayTestHarness.streamHead("a1", "p"))
        .write(GatewayTestHarness.chunk(GatewayTestHarness.event(0)));
    client.readHead();
    client.readChunk();
    client.reset();
    assertThat(server.isClosedByPeer(), is(true));
    for (int i = 0; i < 6; i++) {
      harness.timers.advance(210);
    }
    assertThat(harness.secondServer.hasNoConnection(), is(true));
  }

  /** CONFIG: at the route's time there is a final answer, whatever the client allows. */
  @ParameterizedTest
  @CsvSource({"unsafe, 504", "safe, 504", "stream, 504"})
  void silentRequestIsAnsweredAtTheRouteTimeout(String route, int status) {
    RawConnection client = harness.request(route, "a1");
    RawConnection server = harness.firstServer.acceptRequest();
    harness.timers.advance(ROUTE_TIMEOUT_MS);
    assertThat(client.readMessage().status(), is(status));
    assertThat(server.isClosedByPeer(), is(true));
  }

  /** CONFIG: a stream under way at the route's time ends there, and does not look complete. */
  @ParameterizedTest
  @ValueSource(strings = {"stream", "resume"})
  void streamIsAbortedAtTheRouteTimeout(String route) {
    RawConnection client = harness.request(route, "a1");
    RawConnection server = harness.firstServer.acceptRequest();
    server
        .write(GatewayTestHarness.streamHead("a1", "p"))
        .write(GatewayTestHarness.chunk(GatewayTestHarness.event(0)));
    client.readHead();
    client.readChunk();
    harness.timers.advance(ROUTE_TIMEOUT_MS);
    assertThat(client.readChunk(), is(nullValue()));
    assertThat(server.isClosedByPeer(), is(true));
  }

  /** DENIED: without a configuration nothing is denied, on no path. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "POST /safe/x",
        "POST /sack/x",
        "GET /lots/L1",
        "DELETE /lots/L1",
        "GET /items/L1?id=e"
      })
  void everyCallIsRejectedWithRetryAfterBeforeTheFirstConfig(String call) {
    harness.clusterState.configured = false;
    Message response =
        harness
            .connectClient()
            .write(
                call
                    + " HTTP/1.1\r\nHost: "
                    + FakeClusterState.HOST
                    + "\r\nElmsail-Request-Id: a1\r\nContent-Length: 0\r\n\r\n")
            .readMessage();
    assertThat(response.status(), is(503));
    assertThat(response.header("Retry-After"), is(notNullValue()));
  }

  /** UNASKED: what describes the prompt reaches the server byte for byte. */
  @Test
  void promptHeadersPassUnchanged() {
    String model = "M odel;v=\"1\", x\u00e9\u00ff/%20";
    String tokens = "0001460,80";
    String prefix = "5C1e07a2:800,91bd3f06:410,  e4402b7d:250,,zz";
    harness.request(
        "unsafe",
        "a1",
        "elmsail-model: " + model,
        "Elmsail-Tokens: " + tokens,
        "ELMSAIL-PROMPT-PREFIX: " + prefix,
        "Expect-Version: 7",
        "Last-Event-Id: 3");
    Message received = harness.firstServer.accept().readMessage();
    assertThat(received.header("Elmsail-Model"), is(model));
    assertThat(received.header("Elmsail-Tokens"), is(tokens));
    assertThat(received.header("Elmsail-Prompt-Prefix"), is(prefix));
    assertThat(received.header("Expect-Version"), is("7"));
    assertThat(received.header("Last-Event-Id"), is("3"));
  }

  /** MIXED: a refusal of our own bears no server's stamp, whatever servers said. */
  @ParameterizedTest
  @CsvSource({"Elmsail-Not-Run: 1, 503", "X-None: 1, 502"})
  void localReplyHasNoPostmark(String header, int status) {
    RawConnection client = harness.request("once", "a1");
    RawConnection server = harness.firstServer.acceptRequest();
    server.write(GatewayTestHarness.response(429, "a1", "why", "Elmsail-Postmark: p", header));
    Message response = client.readMessage();
    assertThat(response.status(), is(status));
    assertThat(response.header("Elmsail-Postmark"), is(nullValue()));
    assertThat(response.body(), is(""));
  }

  /** MIXED: a failure that bears a server's stamp has that server's status. */
  @ParameterizedTest
  @ValueSource(ints = {500, 422, 504, 400})
  void serverErrorKeepsItsStatusAndPostmark(int status) {
    RawConnection client = harness.request("unsafe", "a1");
    RawConnection server = harness.firstServer.acceptRequest();
    server.write(
        GatewayTestHarness.response(status, "a1", "why", "Elmsail-Postmark: p", "Versions: 4"));
    Message response = client.readMessage();
    assertThat(response.status(), is(status));
    assertThat(response.header("Elmsail-Postmark"), is("p"));
    assertThat(response.header("Versions"), is("4"));
  }

  /** ORDER: versions pass, in the head and inside events; a resumed stream keeps its first head. */
  @Test
  void resumedStreamKeepsTheFirstResponseHead() throws Exception {
    harness.listServers(harness.firstServer, harness.secondServer);
    RawConnection client = harness.request("resume", "a1");
    RawConnection server = harness.firstServer.acceptRequest();
    String event = "versions: 8\nid: 0\ndata: e0\n\n";
    server
        .write(
            GatewayTestHarness.streamHead("a1", "p-1")
                .replace("\r\n\r\n", "\r\nVersions: 7\r\n\r\n"))
        .write(GatewayTestHarness.chunk(event + "versions: 9\nid: 1\nda"));
    Message head = client.readHead();
    assertThat(head.header("Versions"), is("7"));
    assertThat(head.header("Elmsail-Postmark"), is("p-1"));
    assertThat(client.readChunk(), is(event));
    server.reset();
    RawConnection other = harness.secondServer.accept();
    assertThat(other.readMessage().header("Last-Event-Id"), is("0"));
    String next = "versions: 9\nid: 1\ndata: e1\n\n";
    other
        .write(GatewayTestHarness.streamHead("a1", "p-2"))
        .write(GatewayTestHarness.chunk(next))
        .write("0\r\n\r\n");
    assertThat(client.readChunk(), is(next));
    assertThat(client.readChunk(), is(""));
  }

  private static Route routeWith(Route route, long timeoutMs, int priority) {
    return new Route(
        route.name(),
        route.host(),
        route.prefix(),
        route.kind(),
        timeoutMs,
        route.latencyTargetMs(),
        priority,
        route.weightedServices(),
        route.maxAttempts(),
        route.resumable(),
        route.tokenGapTargetMs(),
        route.completionTargetMs(),
        route.itemTtlMs(),
        route.maxWaitingTokens());
  }

  /** Each rank of the routes has its own urgency, before those of items. */
  @ParameterizedTest
  @CsvSource({"0, 1", "1, 2", "3, 4", "5, 6", "9, 7"})
  void routePriorityMapsToADistinctPriorityHeader(int routePriority, int priorityHeader) {
    harness.clusterState.routes.computeIfPresent(
        "/unsafe/", (prefix, r) -> routeWith(r, ROUTE_TIMEOUT_MS, routePriority));
    harness.request("unsafe", "a1");
    assertThat(
        harness.firstServer.accept().readMessage().header("Priority"),
        is(Integer.toString(priorityHeader)));
  }

  /** LOST: what is read whole too late for the grace time is refused and not begun. */
  @Test
  void requestCompletedLateInAShutdownIsRejectedAndNotSent() throws Exception {
    String text = GatewayTestHarness.requestText("unsafe", "a1", "Expect: 100-continue");
    RawConnection client = harness.connectClient().write(text.substring(0, text.length() - 2));
    assertThat("its head has come", client.readHead().status(), is(100));
    CompletableFuture<Void> stopped = harness.onLoop(harness.gateway::stop);
    harness.timers.advance(2_600);
    harness.timers.advance(500);
    harness.onLoop(() -> null); // the time has passed before the rest comes
    client.write(text.substring(text.length() - 2));
    Message response = client.readMessage();
    assertThat(response.status(), is(503));
    assertThat(response.header("Connection"), is("close"));
    assertThat(harness.firstServer.hasNoConnection(), is(true));
    stopped.get(RawConnection.WAIT_MS, TimeUnit.MILLISECONDS);
  }
}
