package elmsail.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import elmsail.gateway.RawConnection.Message;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests over sockets, from a client through the gateway to fake servers. */
class RequestForwarderTest extends GatewaySocketTest {

  @Test
  void requestAndResponsePassUnchanged() {
    RawConnection client =
        harness.request(
            "unsafe",
            "a1",
            "Elmsail-Deadline-Ms: 2000",
            "X-Own: 7",
            "Connection: x-hop",
            "X-Hop: 1",
            "TE: trailers",
            "Proxy-Thing: 1");
    RawConnection server = harness.firstServer.accept();
    Message received = server.readMessage();
    assertThat(received.startLine(), is("POST /unsafe/2f HTTP/1.1"));
    assertThat(received.body(), is("body"));
    assertThat(received.header("Host"), is(FakeClusterState.HOST));
    assertThat(received.header("Elmsail-Request-Id"), is("a1"));
    assertThat(received.header("Elmsail-Expect-Server"), is("i-0"));
    assertThat(received.header("X-Own"), is("7"));
    assertThat(received.header("X-Hop"), is(nullValue()));
    assertThat(received.header("TE"), is(nullValue()));
    assertThat(received.header("Proxy-Thing"), is(nullValue()));
    assertThat(
        Integer.parseInt(received.header("Elmsail-Deadline-Ms")),
        allOf(greaterThan(0), lessThanOrEqualTo(2_000)));
    server.write(
        GatewayTestHarness.response(
            200, "a1", "bytes", "Elmsail-Postmark: p.1", "X-Server: 3", "Keep-Alive: timeout=9"));
    Message response = client.readMessage();
    assertThat(response.status(), is(200));
    assertThat(response.body(), is("bytes"));
    assertThat(response.header("Elmsail-Postmark"), is("p.1"));
    assertThat(response.header("X-Server"), is("3"));
    assertThat(response.header("Keep-Alive"), is("timeout=14"));
  }

  @Test
  void clientAndServerConnectionsAreReused() throws Exception {
    RawConnection client = harness.request("unsafe", "a1");
    RawConnection server = harness.firstServer.acceptRequest();
    server.write(
        GatewayTestHarness.response(
            200, "a1", "one", "Elmsail-Postmark: p", "Keep-Alive: timeout=9"));
    assertThat(client.readMessage().body(), is("one"));
    harness.timers.advance(100);
    client.write(GatewayTestHarness.requestText("unsafe", "a2"));
    assertThat(server.readMessage().header("Elmsail-Request-Id"), is("a2"));
    server.write(GatewayTestHarness.okResponse("a2", "two"));
    assertThat(client.readMessage().body(), is("two"));
  }

  @Test
  void chunkedRequestBodyIsForwardedWithAContentLength() {
    RawConnection client =
        harness
            .connectClient()
            .write(
                "POST /unsafe/ HTTP/1.1\r\nHost: "
                    + FakeClusterState.HOST
                    + "\r\nElmsail-Request-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    RawConnection server = harness.firstServer.accept();
    Message received = server.readMessage();
    assertThat(received.body(), is("abcde"));
    assertThat(received.header("Content-Length"), is("5"));
    server.write(GatewayTestHarness.okResponse("a1", "x"));
    assertThat(client.readMessage().status(), is(200));
  }

  @Test
  void eventsAreRelayedAsTheyArrive() {
    RawConnection client = harness.request("stream", "a1");
    RawConnection server = harness.firstServer.acceptRequest();
    server
        .write(GatewayTestHarness.streamHead("a1", "p"))
        .write(GatewayTestHarness.chunk(GatewayTestHarness.event(0)));
    assertThat(client.readHead().header("Elmsail-Postmark"), is("p"));
    assertThat(client.readChunk(), is(GatewayTestHarness.event(0)));
    server.write(GatewayTestHarness.chunk(GatewayTestHarness.event(1)));
    assertThat(client.readChunk(), is(GatewayTestHarness.event(1)));
    server.write("0\r\n\r\n");
    assertThat(client.readChunk(), is(""));
  }

  @ParameterizedTest
  @ValueSource(ints = {503, 429, 421, 408, 504})
  void notRunResponseIsRetriedAtAnotherServer(int status) throws Exception {
    harness.listServers(harness.firstServer, harness.secondServer);
    RawConnection client = harness.request("unsafe", "a1");
    RawConnection server = harness.firstServer.acceptRequest();
    server.write(
        status == 421
            ? GatewayTestHarness.response(421, "a1", "")
            : GatewayTestHarness.notRunResponse(status, "a1"));
    RawConnection other = harness.secondServer.accept();
    assertThat(other.readMessage().header("Elmsail-Expect-Server"), is("i-1"));
    other.write(GatewayTestHarness.okResponse("a1", "x"));
    assertThat(client.readMessage().body(), is("x"));
  }

  @Test
  void notRunEverywhereIsRejectedWithRetryAfter() throws Exception {
    harness.listServers(harness.firstServer, harness.secondServer);
    RawConnection client = harness.request("unsafe", "a1");
    harness.firstServer.accept().write(GatewayTestHarness.notRunResponse(503, "a1")).readMessage();
    harness.secondServer.accept().write(GatewayTestHarness.notRunResponse(503, "a1")).readMessage();
    Message response = client.readMessage();
    assertThat(response.status(), is(503));
    assertThat(Double.parseDouble(response.header("Retry-After")), is(greaterThan(0.0)));
  }

  @Test
  void attemptsNeverExceedTheRoutesMaximum() throws Exception {
    harness.listServers(harness.firstServer, harness.secondServer);
    RawConnection client = harness.request("once", "a1");
    harness.firstServer.accept().write(GatewayTestHarness.notRunResponse(503, "a1")).readMessage();
    assertThat(client.readMessage().status(), is(503));
    assertThat(harness.secondServer.hasNoConnection(), is(true));
  }

  @Test
  void possiblyRunUnsafeRequestIsNeitherRetriedNorRejected() throws Exception {
    harness.listServers(harness.firstServer, harness.secondServer);
    RawConnection client = harness.request("unsafe", "a1");
    RawConnection server = harness.firstServer.acceptRequest();
    server.reset();
    assertThat(client.readMessage().status(), is(502));
    assertThat(harness.secondServer.hasNoConnection(), is(true));
  }

  @ParameterizedTest
  @ValueSource(ints = {503, 429, 408})
  void statusThatWouldClaimNotRunIsNotRelayed(int status) throws Exception {
    harness.listServers(harness.firstServer, harness.secondServer);
    RawConnection client = harness.request("unsafe", "a1");
    RawConnection server = harness.firstServer.acceptRequest();
    server.write(GatewayTestHarness.response(status, "a1", ""));
    assertThat(client.readMessage().status(), is(502));
    assertThat(harness.secondServer.hasNoConnection(), is(true));
  }

  @Test
  void safeRequestIsRetriedAfterATruncatedResponse() throws Exception {
    harness.listServers(harness.firstServer, harness.secondServer);
    RawConnection client = harness.request("safe", "a1");
    RawConnection server = harness.firstServer.acceptRequest();
    server.write(
        "HTTP/1.1 200 OK\r\nElmsail-Request-Id: a1\r\nElmsail-Postmark: p\r\n"
            + "Content-Length: 9\r\n\r\n12");
    server.reset();
    RawConnection other = harness.secondServer.acceptRequest();
    other.write(GatewayTestHarness.okResponse("a1", "whole"));
    assertThat(client.readMessage().body(), is("whole"));
  }

  @ParameterizedTest
  @ValueSource(ints = {500, 422, 504, 400, 404})
  void serverStatusesAreRelayed(int status) {
    RawConnection client = harness.request("unsafe", "a1");
    RawConnection server = harness.firstServer.acceptRequest();
    server.write(GatewayTestHarness.response(status, "a1", "why", "Elmsail-Postmark: p"));
    Message response = client.readMessage();
    assertThat(response.status(), is(status));
    assertThat(response.body(), is("why"));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nElmsail-Request-Id: zz\r\nElmsail-Postmark: p\r\nContent-Length: 1\r\n\r\nx",
        "HTTP/1.1 200 OK\r\nElmsail-Postmark: p\r\nContent-Length: 1\r\n\r\nx",
        "HTTP/1.1 200 OK\r\nElmsail-Request-Id: a1\r\nContent-Length: 1\r\n\r\nx",
        "HTTP/1.1 200 OK\r\nElmsail-Request-Id: a1\r\nElmsail-Postmark: p\r\nContent-Length: 1\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
        "garbage garbage\r\n\r\n",
        "HTTP/1.1 200 OK\r\nElmsail-Request-Id: a1\r\nElmsail-Postmark: p\r\n"
            + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"
      })
  void malformedResponseIsNotRelayed(String bytes) {
    RawConnection client = harness.request("unsafe", "a1");
    RawConnection server = harness.firstServer.acceptRequest();
    server.write(bytes);
    assertThat(client.readMessage().status(), is(502));
    assertThat(server.isClosedByPeer(), is(true));
  }

  @Test
  void bytesAfterAResponseCloseTheConnection() throws Exception {
    RawConnection client = harness.request("unsafe", "a1");
    RawConnection server = harness.firstServer.acceptRequest();
    server.write(
        GatewayTestHarness.okResponse("a1", "x") + GatewayTestHarness.okResponse("a1", "extra"));
    assertThat(client.readMessage().body(), is("x"));
    assertThat(server.isClosedByPeer(), is(true));
    client.write(GatewayTestHarness.requestText("unsafe", "a2"));
    RawConnection next = harness.firstServer.acceptRequest();
    next.write(GatewayTestHarness.okResponse("a2", "right"));
    assertThat(client.readMessage().body(), is("right"));
  }

  @Test
  void extraResponseOnAnIdleConnectionClosesIt() {
    RawConnection client = harness.request("unsafe", "a1");
    RawConnection server = harness.firstServer.acceptRequest();
    server.write(GatewayTestHarness.okResponse("a1", "x"));
    assertThat(client.readMessage().body(), is("x"));
    server.write("HT");
    assertThat(server.isClosedByPeer(), is(true));
  }

  @Test
  void truncatedStreamNeverLooksComplete() {
    RawConnection client = harness.request("stream", "a1");
    RawConnection server = harness.firstServer.acceptRequest();
    server
        .write(GatewayTestHarness.streamHead("a1", "p"))
        .write(GatewayTestHarness.chunk(GatewayTestHarness.event(0)));
    client.readHead();
    assertThat(client.readChunk(), is(GatewayTestHarness.event(0)));
    server.reset();
    assertThat(client.readChunk(), is(nullValue()));
  }

  @Test
  void truncatedStreamResumesAtAnotherServerInTheSameResponse() throws Exception {
    harness.listServers(harness.firstServer, harness.secondServer);
    RawConnection client = harness.request("resume", "a1");
    RawConnection server = harness.firstServer.acceptRequest();
    server
        .write(GatewayTestHarness.streamHead("a1", "p-first"))
        .write(
            GatewayTestHarness.chunk(
                GatewayTestHarness.event(0) + GatewayTestHarness.event(1) + "id: 2\ndata: ha"));
    assertThat(client.readHead().header("Elmsail-Postmark"), is("p-first"));
    String both = client.readChunk();
    both += both.length() < 2 * GatewayTestHarness.event(0).length() ? client.readChunk() : "";
    assertThat(both, is(GatewayTestHarness.event(0) + GatewayTestHarness.event(1)));
    server.reset();
    RawConnection other = harness.secondServer.accept();
    Message received = other.readMessage();
    assertThat(received.header("Last-Event-Id"), is("1"));
    assertThat(received.header("Elmsail-Request-Id"), is("a1"));
    other
        .write(GatewayTestHarness.streamHead("a1", "p-second"))
        .write(GatewayTestHarness.chunk(GatewayTestHarness.event(2)))
        .write("0\r\n\r\n");
    assertThat(client.readChunk(), is(GatewayTestHarness.event(2)));
    assertThat(client.readChunk(), is(""));
  }

  @Test
  void resumedStreamWithWrongEventIdIsAborted() throws Exception {
    harness.listServers(harness.firstServer, harness.secondServer);
    RawConnection client = harness.request("resume", "a1");
    RawConnection server = harness.firstServer.acceptRequest();
    server
        .write(GatewayTestHarness.streamHead("a1", "p"))
        .write(GatewayTestHarness.chunk(GatewayTestHarness.event(0)));
    client.readHead();
    client.readChunk();
    server.reset();
    RawConnection other = harness.secondServer.acceptRequest();
    other
        .write(GatewayTestHarness.streamHead("a1", "p"))
        .write(GatewayTestHarness.chunk(GatewayTestHarness.event(0)));
    assertThat(client.readChunk(), is(nullValue()));
    assertThat(other.isClosedByPeer(), is(true));
  }

  @Test
  void resumableStreamWithoutEventsIsRetriedFromTheStart() throws Exception {
    harness.listServers(harness.firstServer, harness.secondServer);
    RawConnection client = harness.request("resume", "a1");
    RawConnection server = harness.firstServer.acceptRequest();
    server
        .write(GatewayTestHarness.streamHead("a1", "p-first"))
        .write(GatewayTestHarness.chunk("id: 0\nda"));
    server.reset();
    RawConnection other = harness.secondServer.accept();
    assertThat(other.readMessage().header("Last-Event-Id"), is(nullValue()));
    other
        .write(GatewayTestHarness.streamHead("a1", "p-second"))
        .write(GatewayTestHarness.chunk(GatewayTestHarness.event(0)))
        .write("0\r\n\r\n");
    Message response = client.readMessage();
    assertThat(response.header("Elmsail-Postmark"), is("p-second"));
    assertThat(response.body(), is(GatewayTestHarness.event(0)));
  }

  @Test
  void clientDisconnectCancelsTheRequestAtItsServer() {
    RawConnection client = harness.request("stream", "a1");
    RawConnection server = harness.firstServer.acceptRequest();
    client.close();
    assertThat(server.isClosedByPeer(), is(true));
  }

  @Test
  void deadlineAfterSendingIsAnsweredAsGatewayTimeout() {
    RawConnection client = harness.request("unsafe", "a1", "Elmsail-Deadline-Ms: 4000");
    RawConnection server = harness.firstServer.acceptRequest();
    harness.timers.advance(4_000);
    assertThat(client.readMessage().status(), is(504));
    assertThat(server.isClosedByPeer(), is(true));
  }

  @Test
  void serverThatRefusesConnectionsIsSkipped() throws Exception {
    harness.listServers(harness.firstServer, harness.secondServer);
    harness.firstServer.close();
    RawConnection client = harness.request("once", "a1");
    RawConnection other = harness.secondServer.accept();
    assertThat(other.readMessage(), is(notNullValue()));
    other.write(GatewayTestHarness.okResponse("a1", "x"));
    assertThat(client.readMessage().body(), is("x"));
  }

  @Test
  void removedServerGetsNoNewRequestsAndItsIdleConnectionsClose() throws Exception {
    RawConnection client = harness.request("unsafe", "a1");
    RawConnection server = harness.firstServer.acceptRequest();
    server.write(GatewayTestHarness.okResponse("a1", "x"));
    client.readMessage();
    harness.setServers(List.of());
    assertThat(server.isClosedByPeer(), is(true));
    client.write(GatewayTestHarness.requestText("unsafe", "a2"));
    Message response = client.readMessage();
    assertThat(response.status(), is(503));
    assertThat(response.header("Retry-After"), is(notNullValue()));
  }

  @Test
  void openRequestsAtARemovedServerComplete() throws Exception {
    RawConnection client = harness.request("unsafe", "a1");
    RawConnection server = harness.firstServer.acceptRequest();
    harness.setServers(List.of());
    server.write(GatewayTestHarness.okResponse("a1", "x"));
    assertThat(client.readMessage().body(), is("x"));
    assertThat(server.isClosedByPeer(), is(true));
  }

  @Test
  void resumableStreamMovesFromAnUnresponsiveServer() throws Exception {
    harness.listServers(harness.firstServer, harness.secondServer);
    RawConnection client = harness.request("resume", "a1");
    RawConnection server = harness.firstServer.acceptRequest();
    server
        .write(GatewayTestHarness.streamHead("a1", "p"))
        .write(GatewayTestHarness.chunk(GatewayTestHarness.event(0)));
    client.readHead();
    client.readChunk();
    for (int i = 0; i < 6; i++) {
      harness.timers.advance(210);
    }
    RawConnection other = harness.secondServer.accept();
    assertThat(other.readMessage().header("Last-Event-Id"), is("0"));
    other
        .write(GatewayTestHarness.streamHead("a1", "p"))
        .write(GatewayTestHarness.chunk(GatewayTestHarness.event(1)))
        .write("0\r\n\r\n");
    assertThat(client.readChunk(), is(GatewayTestHarness.event(1)));
    assertThat(client.readChunk(), is(""));
    assertThat(server.isClosedByPeer(), is(true));
  }

  @Test
  void unsafeRequestIsNotMovedFromAnUnresponsiveServer() throws Exception {
    harness.listServers(harness.firstServer, harness.secondServer);
    RawConnection client = harness.request("stream", "a1");
    RawConnection server = harness.firstServer.acceptRequest();
    for (int i = 0; i < 6; i++) {
      harness.timers.advance(210);
    }
    server
        .write(GatewayTestHarness.streamHead("a1", "p"))
        .write(GatewayTestHarness.chunk(GatewayTestHarness.event(0)))
        .write("0\r\n\r\n");
    assertThat(client.readMessage().body(), is(GatewayTestHarness.event(0)));
    assertThat(harness.secondServer.hasNoConnection(), is(true));
  }

  @Test
  void requestToASuspectServerUsesANewConnection() throws Exception {
    RawConnection client = harness.request("unsafe", "a1", "Elmsail-Deadline-Ms: 4000");
    harness.firstServer.acceptRequest();
    harness.timers.advance(4_000);
    assertThat(client.readMessage().status(), is(504));
    client.write(GatewayTestHarness.requestText("unsafe", "a2"));
    RawConnection next = harness.firstServer.accept();
    assertThat(next.readMessage().header("Elmsail-Request-Id"), is("a2"));
    next.write(GatewayTestHarness.okResponse("a2", "x"));
    assertThat(client.readMessage().body(), is("x"));
  }

  @Test
  void streamOfAnotherTypeIsRelayedAsItArrives() {
    RawConnection client = harness.request("resume", "a1");
    RawConnection server = harness.firstServer.acceptRequest();
    server
        .write(GatewayTestHarness.streamHead("a1", "p").replace("text/event-stream", "text/plain"))
        .write(GatewayTestHarness.chunk("ab"));
    assertThat(client.readHead().header("Content-Type"), is("text/plain"));
    assertThat(client.readChunk(), is("ab"));
    server.write("0\r\n\r\n");
    assertThat(client.readChunk(), is(""));
  }

  @Test
  void longResponseIsRelayedBeforeItIsComplete() {
    RawConnection client = harness.request("safe", "a1");
    RawConnection server = harness.firstServer.acceptRequest();
    String half = "x".repeat(40_000);
    server.write(
        "HTTP/1.1 200 OK\r\nElmsail-Request-Id: a1\r\nElmsail-Postmark: p\r\n"
            + "Content-Length: 120000\r\n\r\n"
            + half
            + half);
    assertThat(client.readHead().header("Content-Length"), is("120000"));
    assertThat(client.readBytes(70_000).length(), is(70_000));
    server.write(half);
    assertThat(client.readBytes(50_000).length(), is(50_000));
  }

  @Test
  void responseToHeadHasNoBody() {
    RawConnection client =
        harness
            .connectClient()
            .write(GatewayTestHarness.requestText("safe", "a1").replace("POST", "HEAD"));
    RawConnection server = harness.firstServer.accept();
    assertThat(server.readMessage().startLine(), is("HEAD /safe/2f HTTP/1.1"));
    server.write(
        "HTTP/1.1 200 OK\r\nElmsail-Request-Id: a1\r\nElmsail-Postmark: p\r\n"
            + "Content-Length: 120\r\n\r\n");
    assertThat(client.readHead().status(), is(200));
    client.write(GatewayTestHarness.requestText("nowhere", "a2"));
    assertThat(client.readMessage().status(), is(404));
  }

  @Test
  void streamIsAbortedAtItsDeadline() {
    RawConnection client = harness.request("stream", "a1", "Elmsail-Deadline-Ms: 4000");
    RawConnection server = harness.firstServer.acceptRequest();
    server
        .write(GatewayTestHarness.streamHead("a1", "p"))
        .write(GatewayTestHarness.chunk(GatewayTestHarness.event(0)));
    client.readHead();
    client.readChunk();
    harness.timers.advance(4_000);
    assertThat(client.readChunk(), is(nullValue()));
    assertThat(server.isClosedByPeer(), is(true));
  }
}
