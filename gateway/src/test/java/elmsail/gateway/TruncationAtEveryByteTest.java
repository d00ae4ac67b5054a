package elmsail.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.either;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.oneOf;

import elmsail.gateway.RawConnection.Message;
import elmsail.gateway.http.RequestCounters;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Connections to a server that end, by an orderly close or a reset, at each byte of a request and
 * of a response. A request that is not idempotent must reach one server only and must not be
 * reported as not run; a truncated response must not look complete.
 */
class TruncationAtEveryByteTest extends GatewaySocketTest {
  /** Longer than the longest backoff of a server. */
  private static final int PAST_BACKOFF_MS = 4_000;

  private static final String CHUNKED =
      "HTTP/1.1 200 OK\r\nElmsail-Request-Id: a1\r\nElmsail-Postmark: p\r\n"
          + "Transfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\nx-y: 1\r\n\r\n";
  private static final String FIXED_LENGTH = GatewayTestHarness.okResponse("a1", "whole");

  @BeforeEach
  void listBothServers() throws Exception {
    harness.listServers(harness.firstServer, harness.secondServer);
  }

  private void advancePastBackoff() {
    harness.timers.advance(PAST_BACKOFF_MS);
  }

  private static void endConnection(RawConnection server, boolean reset) {
    if (reset) {
      server.reset();
    } else {
      server.close();
    }
  }

  @ParameterizedTest
  @CsvSource({"LENGTH, false", "LENGTH, true", "CHUNKED, false", "CHUNKED, true"})
  void truncatedUnsafeResponseIsNeverCompleteNorRetried(String kind, boolean reset) {
    String fullResponse = kind.equals("LENGTH") ? FIXED_LENGTH : CHUNKED;
    for (int cut = 0; cut <= fullResponse.length(); cut++) {
      try (RawConnection client = harness.request("unsafe", "a1")) {
        RawConnection server = harness.firstServer.accept();
        server.readMessage();
        server.write(fullResponse.substring(0, cut));
        endConnection(server, reset);
        Message response = client.readMessage();
        boolean complete = cut == fullResponse.length();
        assertThat("cut at " + cut, response.status(), is(complete ? oneOf(200, 502) : is(502)));
        if (response.status() == 200) {
          assertThat(response.body(), is("whole"));
        }
        assertThat("cut at " + cut, harness.secondServer.hasNoConnection(), is(true));
      }
      advancePastBackoff();
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void truncatedSafeResponseIsRetriedOnce(boolean reset) {
    for (int cut = 0; cut < FIXED_LENGTH.length(); cut++) {
      try (RawConnection client = harness.request("safe", "a1")) {
        RawConnection server = harness.firstServer.accept();
        server.readMessage();
        server.write(FIXED_LENGTH.substring(0, cut));
        endConnection(server, reset);
        RawConnection other = harness.secondServer.accept();
        assertThat(other.readMessage().header("Elmsail-Request-Id"), is("a1"));
        other.write(
            GatewayTestHarness.response(
                200, "a1", "again", "Elmsail-Postmark: q", "Connection: close"));
        Message response = client.readMessage();
        assertThat("cut at " + cut, response.body(), is("again"));
        assertThat(response.header("Elmsail-Postmark"), is("q"));
        assertThat(
            harness.firstServer.hasNoConnection() && harness.secondServer.hasNoConnection(),
            is(true));
      }
      advancePastBackoff();
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void truncatedNonResumableStreamIsAborted(boolean reset) {
    String fullResponse =
        GatewayTestHarness.streamHead("a1", "p")
            + GatewayTestHarness.chunk(GatewayTestHarness.event(0))
            + GatewayTestHarness.chunk(GatewayTestHarness.event(1))
            + "0\r\n\r\n";
    for (int cut = 0; cut < fullResponse.length(); cut++) {
      try (RawConnection client = harness.request("stream", "a1")) {
        RawConnection server = harness.firstServer.accept();
        server.readMessage();
        server.write(fullResponse.substring(0, cut));
        endConnection(server, reset);
        Message head = client.readHead();
        assertThat("cut at " + cut, head.status(), is(either(is(200)).or(is(502))));
        if (head.status() == 200) {
          assertThat("cut at " + cut, endsWithoutLastChunk(client), is(true));
        }
        assertThat("cut at " + cut, harness.secondServer.hasNoConnection(), is(true));
      }
      advancePastBackoff();
    }
  }

  private static boolean endsWithoutLastChunk(RawConnection client) {
    String chunk = client.readChunk();
    while (chunk != null && !chunk.isEmpty()) {
      chunk = client.readChunk();
    }
    return chunk == null;
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void truncatedUnsafeRequestIsNotRetried(boolean reset) {
    int length = requestLength();
    for (int cut = 1; cut <= length; cut++) {
      try (RawConnection client = harness.request("unsafe", "a1")) {
        RawConnection server = harness.firstServer.accept();
        server.readBytes(cut);
        endConnection(server, reset);
        assertThat("cut at " + cut, client.readMessage().status(), is(502));
        assertThat("cut at " + cut, harness.secondServer.hasNoConnection(), is(true));
      }
      advancePastBackoff();
    }
  }

  /**
   * The gateway may report the request as not run (503) only if it could not connect to the server,
   * so that no byte of the request was sent.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void connectionClosedBeforeTheRequestIsReadIsNotRetried(boolean reset) throws Exception {
    harness.listServers(harness.firstServer);
    for (int i = 0; i < 20; i++) {
      long before = failedConnectionCount();
      try (RawConnection client = harness.request("unsafe", "a1")) {
        endConnection(harness.firstServer.accept(), reset);
        int status = client.readMessage().status();
        boolean failed = failedConnectionCount() > before;
        assertThat(status, is(failed ? 503 : 502));
      }
      advancePastBackoff();
    }
  }

  private long failedConnectionCount() throws Exception {
    return harness.onLoop(
        () -> harness.gateway.counters().total(RequestCounters.Event.CONNECT_FAILED));
  }

  private int requestLength() {
    try (RawConnection client = harness.request("unsafe", "a1")) {
      RawConnection server = harness.firstServer.accept();
      int length = 0;
      String line = server.readLine();
      for (; !line.isEmpty(); line = server.readLine()) {
        length += line.length() + 2;
      }
      server.readBytes("body".length());
      server.write(
          GatewayTestHarness.response(200, "a1", "", "Elmsail-Postmark: p", "Connection: close"));
      client.readMessage();
      return length + 2 + "body".length();
    }
  }

  @Test
  void requestOnAReusedConnectionIsNotRetriedAfterAReset() {
    RawConnection client = harness.request("unsafe", "a1");
    RawConnection server = harness.firstServer.accept();
    server.readMessage();
    server.write(
        GatewayTestHarness.response(
            200, "a1", "x", "Elmsail-Postmark: p", "Keep-Alive: timeout=9"));
    client.readMessage();
    harness.timers.advance(100);
    client.write(GatewayTestHarness.requestText("unsafe", "a2"));
    assertThat(server.readBytes(1), is("P"));
    server.reset();
    assertThat(client.readMessage().status(), is(502));
    assertThat(
        harness.firstServer.hasNoConnection() && harness.secondServer.hasNoConnection(), is(true));
  }

  /** Guards against taking an extra response for the response to a later request of the same id. */
  @Test
  void repeatedRequestIdIsSentOnANewConnection() {
    RawConnection client = harness.request("unsafe", "a1");
    RawConnection server = harness.firstServer.accept();
    server.readMessage();
    server.write(
        GatewayTestHarness.response(
            200, "a1", "one", "Elmsail-Postmark: p", "Keep-Alive: timeout=9"));
    client.readMessage();
    harness.timers.advance(100);
    client.write(GatewayTestHarness.requestText("unsafe", "a1"));
    RawConnection next = harness.firstServer.accept();
    assertThat(next.readMessage().header("Elmsail-Request-Id"), is("a1"));
    next.write(GatewayTestHarness.okResponse("a1", "two"));
    assertThat(client.readMessage().body(), is("two"));
  }
}
