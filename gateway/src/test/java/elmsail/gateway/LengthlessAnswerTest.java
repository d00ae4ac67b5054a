package elmsail.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import elmsail.gateway.Wire.Message;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Answers without a length, which end with their connection: whole after its end, not a reset. */
class LengthlessAnswerTest {
  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nElmsail-Request-Id: a1\r\nElmsail-Postmark: p\r\n";

  private Rig rig;

  @BeforeEach
  void open() throws Exception {
    rig = new Rig();
  }

  @AfterEach
  void close() {
    rig.close();
  }

  private Wire serverAsked() {
    Wire server = rig.first.accept();
    server.message();
    return server;
  }

  @Test
  void isWholeOnceTheConnectionHasEndedInOrder() {
    Wire client = rig.request("unsafe", "a1");
    serverAsked().write(HEAD + "\r\nbytes").close();
    Message answer = client.message();
    assertThat(answer.status(), is(200));
    assertThat(answer.body(), is("bytes"));
    assertThat(answer.header("Elmsail-Postmark"), is("p"));
  }

  @Test
  void isNotWholeAfterAReset() throws Exception {
    rig.serve(rig.first, rig.second);
    Wire client = rig.request("unsafe", "a1");
    serverAsked().write(HEAD + "\r\nbytes").reset();
    assertThat(client.message().status(), is(502));
    assertThat(rig.second.alone(), is(true));
  }

  @Test
  void isNotWholeWhenThisSideEndsTheConnection() {
    Wire client = rig.request("stream", "a1", "Elmsail-Deadline-Ms: 4000");
    Wire server = serverAsked();
    server.write(HEAD + "Content-Type: text/event-stream\r\n\r\n" + Rig.event(0));
    client.head();
    assertThat(client.chunk(), is(Rig.event(0)));
    rig.timers.pass(4_000);
    assertThat(client.chunk(), is(nullValue()));
    assertThat(server.ended(), is(true));
  }

  @Test
  void streamIsCompleteAfterAnOrderlyEndAndCutByAReset() {
    for (boolean reset : new boolean[] {false, true}) {
      Wire client = rig.request("stream", "a1");
      Wire server = serverAsked();
      server.write(HEAD + "Content-Type: text/event-stream\r\n\r\n" + Rig.event(0));
      client.head();
      assertThat(client.chunk(), is(Rig.event(0)));
      if (reset) {
        server.reset();
      } else {
        server.close();
      }
      assertThat(client.chunk(), is(reset ? nullValue() : is("")));
    }
  }

  @Test
  void halfAnEventAtTheEndIsNoCompleteStreamWhereItMayBeResumed() throws Exception {
    rig.serve(rig.first, rig.second);
    Wire client = rig.request("resume", "a1");
    serverAsked()
        .write(HEAD + "Content-Type: text/event-stream\r\n\r\n" + Rig.event(0) + "id: 1\nda")
        .close();
    client.head();
    assertThat(client.chunk(), is(Rig.event(0)));
    Wire other = rig.second.accept();
    assertThat(other.message().header("Last-Event-Id"), is("0"));
    other.write(Rig.streamHead("a1", "p")).write(Rig.chunk(Rig.event(1))).write("0\r\n\r\n");
    assertThat(client.chunk(), is(Rig.event(1)));
    assertThat(client.chunk(), is(""));
  }
}
