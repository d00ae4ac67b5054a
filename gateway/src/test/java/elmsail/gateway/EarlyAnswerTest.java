package elmsail.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import elmsail.config.RoutingConfig;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A server that answers before it has read a long body, and keeps the connection. */
class EarlyAnswerTest {
  private static final int BODY_BYTES = 6 << 20;
  private static final int REST_MS = 100;
  private static final int STUCK_MS = 2_000;

  private Rig rig;
  private Wire client;
  private Wire server;

  @BeforeEach
  void answerEarly() throws Exception {
    rig = new Rig();
    rig.known.limits = new RoutingConfig.ClientLimits(2_048, BODY_BYTES, 60_000, 60_000);
    rig.first.takeFewBytesAhead();
    client = rig.client();
    client.write(
        "POST /unsafe/ HTTP/1.1\r\nHost: "
            + FakeKnown.HOST
            + "\r\nElmsail-Request-Id: a1\r\nContent-Length: "
            + BODY_BYTES
            + "\r\n\r\n"
            + "b".repeat(BODY_BYTES));
    server = rig.first.accept();
    server.head();
    server.write(Rig.answer(200, "a1", "early", "Elmsail-Postmark: p", "Keep-Alive: timeout=9"));
    assertThat(client.message().body(), is("early"));
    rig.timers.pass(REST_MS);
  }

  @AfterEach
  void close() {
    rig.close();
  }

  @Test
  void nextRequestDoesNotWaitBehindTheRestOfTheBody() {
    client.write(Rig.requestText("unsafe", "a2"));
    Wire next = rig.first.accept();
    assertThat(next.message().header("Elmsail-Request-Id"), is("a2"));
    next.write(Rig.good("a2", "x"));
    assertThat(client.message().body(), is("x"));
  }

  @Test
  void restOfTheBodyComesUnmixedAndThenTheConnectionIsKept() throws Exception {
    assertThat(server.bytes(BODY_BYTES), is("b".repeat(BODY_BYTES)));
    rig.onLoop(() -> null);
    rig.timers.pass(REST_MS);
    client.write(Rig.requestText("unsafe", "a2"));
    assertThat(server.message().header("Elmsail-Request-Id"), is("a2"));
    server.write(Rig.good("a2", "x"));
    assertThat(client.message().body(), is("x"));
  }

  @Test
  void connectionIsClosedIfTheServerDoesNotReadOn() {
    rig.timers.pass(STUCK_MS);
    assertThat(server.bytesToTheEnd(), is(lessThan((long) BODY_BYTES)));
  }
}
