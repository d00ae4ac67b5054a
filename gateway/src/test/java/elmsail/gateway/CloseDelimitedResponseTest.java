package elmsail.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import elmsail.gateway.RawConnection.Message;
import org.junit.jupiter.api.Test;

/**
 * Responses without a length, which end when the server closes the connection. They are complete
 * after an orderly close, and truncated after a reset or a close by the gateway.
 */
class CloseDelimitedResponseTest extends GatewaySocketTest {
  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nElmsail-Request-Id: a1\r\nElmsail-Postmark: p\r\n";

  private RawConnection acceptRequest() {
    RawConnection server = harness.firstServer.accept();
    server.readMessage();
    return server;
  }

  @Test
  void responseIsCompleteAfterAnOrderlyClose() {
    RawConnection client = harness.request("unsafe", "a1");
    acceptRequest().write(HEAD + "\r\nbytes").close();
    Message response = client.readMessage();
    assertThat(response.status(), is(200));
    assertThat(response.body(), is("bytes"));
    assertThat(response.header("Elmsail-Postmark"), is("p"));
  }

  @Test
  void responseIsIncompleteAfterAReset() throws Exception {
    harness.listServers(harness.firstServer, harness.secondServer);
    RawConnection client = harness.request("unsafe", "a1");
    acceptRequest().write(HEAD + "\r\nbytes").reset();
    assertThat(client.readMessage().status(), is(502));
    assertThat(harness.secondServer.hasNoConnection(), is(true));
  }

  @Test
  void responseIsIncompleteIfTheGatewayClosesTheConnection() {
    RawConnection client = harness.request("stream", "a1", "Elmsail-Deadline-Ms: 4000");
    RawConnection server = acceptRequest();
    server.write(HEAD + "Content-Type: text/event-stream\r\n\r\n" + GatewayTestHarness.event(0));
    client.readHead();
    assertThat(client.readChunk(), is(GatewayTestHarness.event(0)));
    harness.timers.advance(4_000);
    assertThat(client.readChunk(), is(nullValue()));
    assertThat(server.isClosedByPeer(), is(true));
  }

  @Test
  void streamIsCompleteAfterAnOrderlyCloseAndAbortedByAReset() {
    for (boolean reset : new boolean[] {false, true}) {
      RawConnection client = harness.request("stream", "a1");
      RawConnection server = acceptRequest();
      server.write(HEAD + "Content-Type: text/event-stream\r\n\r\n" + GatewayTestHarness.event(0));
      client.readHead();
      assertThat(client.readChunk(), is(GatewayTestHarness.event(0)));
      if (reset) {
        server.reset();
      } else {
        server.close();
      }
      assertThat(client.readChunk(), is(reset ? nullValue() : is("")));
    }
  }

  @Test
  void partialLastEventOfAResumableStreamIsIncomplete() throws Exception {
    harness.listServers(harness.firstServer, harness.secondServer);
    RawConnection client = harness.request("resume", "a1");
    acceptRequest()
        .write(
            HEAD
                + "Content-Type: text/event-stream\r\n\r\n"
                + GatewayTestHarness.event(0)
                + "id: 1\nda")
        .close();
    client.readHead();
    assertThat(client.readChunk(), is(GatewayTestHarness.event(0)));
    RawConnection other = harness.secondServer.accept();
    assertThat(other.readMessage().header("Last-Event-Id"), is("0"));
    other
        .write(GatewayTestHarness.streamHead("a1", "p"))
        .write(GatewayTestHarness.chunk(GatewayTestHarness.event(1)))
        .write("0\r\n\r\n");
    assertThat(client.readChunk(), is(GatewayTestHarness.event(1)));
    assertThat(client.readChunk(), is(""));
  }
}
