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

/** Handling of requests: deadlines, forwarded headers, client disconnects and rejections. */
class RequestHandlingTest extends GatewaySocketTest {
  private static final String DEADLINE = "Elmsail-Deadline-Ms";

  /** The timeout of each route of the harness. */
  private static final int ROUTE_TIMEOUT_MS = 5_000;

  private static int deadlineMs(Message received) {
    return Integer.parseInt(received.header(DEADLINE));
  }

  private static Matcher<Integer> positiveUpTo(int max) {
    return allOf(greaterThan(0), lessThanOrEqualTo(max));
  }

  /** The remaining deadline is counted from the arrival of the client's request. */
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

  /** Without a valid deadline of the client, the route's timeout is sent to the server. */
  @ParameterizedTest
  @ValueSource(strings = {"X-None: 1", DEADLINE + ": soon", DEADLINE + ": -7", DEADLINE + ":"})
  void routeTimeoutIsSentWithoutAClientDeadline(String header) {
    for (String route : List.of("safe", "unsafe", "stream")) {
      harness.request(route, "a1", header);
      assertThat(
          deadlineMs(harness.firstServer.accept().readMessage()), positiveUpTo(ROUTE_TIMEOUT_MS));
    }
  }

  /** A client's deadline that exceeds the route's timeout is reduced to the timeout. */
  @Test
  void deadlineIsCappedAtTheRouteTimeout() {
    harness.request("unsafe", "a1", DEADLINE + ": 600000");
    assertThat(
        deadlineMs(harness.firstServer.accept().readMessage()), positiveUpTo(ROUTE_TIMEOUT_MS));
  }

  /**
   * The time that a pipelined request waits for the previous request counts against its deadline.
   */
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
    harness.onLoop(() -> null); // the loop has handled the advance before the response arrives
    server.write(
        GatewayTestHarness.response(200, "a1", "x", "Elmsail-Postmark: p", "Connection: close"));
    assertThat(client.readMessage().status(), is(200));
    assertThat(deadlineMs(harness.firstServer.accept().readMessage()), positiveUpTo(1_000));
  }

  /** The route's limit of attempts bounds the number of servers that receive the request. */
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

  /** Accepts the next connection that arrives at any of the servers. */
  private static RawConnection acceptFromAny(RawConnection.FakeServer... fakeServers) {
    for (long end = System.nanoTime() + 5_000_000_000L; System.nanoTime() < end; ) {
      for (RawConnection.FakeServer fakeServer : fakeServers) {
        RawConnection connection = fakeServer.pollConnection();
        if (connection != null) {
          return connection;
        }
      }
    }
    throw new AssertionError("no server received a connection within 5 s");
  }

  /** A disconnect is also detected if the client has sent pipelined requests. */
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
    assertThat(
        "the pipelined requests are not forwarded",
        harness.firstServer.hasNoConnection(),
        is(true));
  }

  /** A client that closes only its sending direction is treated as disconnected. */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "stream", "resume"})
  void clientHalfCloseCountsAsDisconnect(String route) {
    RawConnection client = harness.request(route, "a1");
    RawConnection server = harness.firstServer.acceptRequest();
    client.shutdownOutput();
    assertThat(server.isClosedByPeer(), is(true));
  }

  /** The open stream is closed at its server and not resumed at another server. */
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

  /** Without a response of the server, the client receives 504 at the route's timeout. */
  @ParameterizedTest
  @CsvSource({"unsafe, 504", "safe, 504", "stream, 504"})
  void silentRequestIsAnsweredAtTheRouteTimeout(String route, int status) {
    RawConnection client = harness.request(route, "a1");
    RawConnection server = harness.firstServer.acceptRequest();
    harness.timers.advance(ROUTE_TIMEOUT_MS);
    assertThat(client.readMessage().status(), is(status));
    assertThat(server.isClosedByPeer(), is(true));
  }

  /** A stream that is open at the route's timeout is aborted and does not look complete. */
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

  /**
   * Without a configuration every path returns 503 with Retry-After, and no path returns a final
   * rejection such as 404.
   */
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

  /** Headers that describe the prompt are forwarded to the server byte for byte. */
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

  /** A rejection by the gateway itself has no postmark, whatever the server responded. */
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

  /** An error response with a server's postmark is relayed with that server's status. */
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

  /**
   * Version fields in the head and in events are relayed. After a resumption the client still has
   * the head of the first server.
   */
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

  /**
   * Each route priority maps to a distinct Priority header, more urgent than that of batch items.
   */
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

  /** A request that is completed too late in the grace period is rejected and not forwarded. */
  @Test
  void requestCompletedLateInAShutdownIsRejectedAndNotSent() throws Exception {
    String text = GatewayTestHarness.requestText("unsafe", "a1", "Expect: 100-continue");
    RawConnection client = harness.connectClient().write(text.substring(0, text.length() - 2));
    assertThat("the gateway has received the request's head", client.readHead().status(), is(100));
    CompletableFuture<Void> stopped = harness.onLoop(harness.gateway::stop);
    harness.timers.advance(2_600);
    harness.timers.advance(500);
    harness.onLoop(() -> null); // the loop has handled the advance before the rest arrives
    client.write(text.substring(text.length() - 2));
    Message response = client.readMessage();
    assertThat(response.status(), is(503));
    assertThat(response.header("Connection"), is("close"));
    assertThat(harness.firstServer.hasNoConnection(), is(true));
    stopped.get(RawConnection.WAIT_MS, TimeUnit.MILLISECONDS);
  }
}
