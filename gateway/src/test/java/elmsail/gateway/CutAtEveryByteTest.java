package elmsail.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.either;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.oneOf;

import elmsail.gateway.Wire.Message;
import elmsail.gateway.http.RequestCounters;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Connections to a server that end, in order or by a reset, at each byte of a request and of an
 * answer. What may not be repeated reaches one server only and is never answered by a promise; no
 * part of an answer passes for a whole one.
 */
class CutAtEveryByteTest {
  /** Longer than any server is avoided. */
  private static final int FORGIVEN_MS = 4_000;

  private static final String CHUNKED =
      "HTTP/1.1 200 OK\r\nElmsail-Request-Id: a1\r\nElmsail-Postmark: p\r\n"
          + "Transfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\nx-y: 1\r\n\r\n";
  private static final String LENGTH = Rig.good("a1", "whole");

  private Rig rig;

  @BeforeEach
  void open() throws Exception {
    rig = new Rig();
    rig.serve(rig.first, rig.second);
  }

  @AfterEach
  void close() {
    rig.close();
  }

  private void forgive() {
    rig.timers.pass(FORGIVEN_MS);
  }

  private static void end(Wire server, boolean reset) {
    if (reset) {
      server.reset();
    } else {
      server.close();
    }
  }

  @ParameterizedTest
  @CsvSource({"LENGTH, false", "LENGTH, true", "CHUNKED, false", "CHUNKED, true"})
  void answerOfAnUnsafeRequest(String kind, boolean reset) {
    String answer = kind.equals("LENGTH") ? LENGTH : CHUNKED;
    for (int cut = 0; cut <= answer.length(); cut++) {
      try (Wire client = rig.request("unsafe", "a1")) {
        Wire server = rig.first.accept();
        server.message();
        server.write(answer.substring(0, cut));
        end(server, reset);
        Message got = client.message();
        boolean whole = cut == answer.length();
        assertThat("cut at " + cut, got.status(), is(whole ? oneOf(200, 502) : is(502)));
        if (got.status() == 200) {
          assertThat(got.body(), is("whole"));
        }
        assertThat("cut at " + cut, rig.second.alone(), is(true));
      }
      forgive();
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void answerOfASafeRequestIsHadFromAnotherServerOnce(boolean reset) {
    for (int cut = 0; cut < LENGTH.length(); cut++) {
      try (Wire client = rig.request("safe", "a1")) {
        Wire server = rig.first.accept();
        server.message();
        server.write(LENGTH.substring(0, cut));
        end(server, reset);
        Wire other = rig.second.accept();
        assertThat(other.message().header("Elmsail-Request-Id"), is("a1"));
        other.write(Rig.answer(200, "a1", "again", "Elmsail-Postmark: q", "Connection: close"));
        Message got = client.message();
        assertThat("cut at " + cut, got.body(), is("again"));
        assertThat(got.header("Elmsail-Postmark"), is("q"));
        assertThat(rig.first.alone() && rig.second.alone(), is(true));
      }
      forgive();
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void streamThatMayNotBeResumed(boolean reset) {
    String answer =
        Rig.streamHead("a1", "p") + Rig.chunk(Rig.event(0)) + Rig.chunk(Rig.event(1)) + "0\r\n\r\n";
    for (int cut = 0; cut < answer.length(); cut++) {
      try (Wire client = rig.request("stream", "a1")) {
        Wire server = rig.first.accept();
        server.message();
        server.write(answer.substring(0, cut));
        end(server, reset);
        Message head = client.head();
        assertThat("cut at " + cut, head.status(), is(either(is(200)).or(is(502))));
        if (head.status() == 200) {
          assertThat("cut at " + cut, endsWithoutLastChunk(client), is(true));
        }
        assertThat("cut at " + cut, rig.second.alone(), is(true));
      }
      forgive();
    }
  }

  private static boolean endsWithoutLastChunk(Wire client) {
    String chunk = client.chunk();
    while (chunk != null && !chunk.isEmpty()) {
      chunk = client.chunk();
    }
    return chunk == null;
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void requestThatMayNotBeRepeated(boolean reset) {
    int length = lengthOfARequest();
    for (int cut = 1; cut <= length; cut++) {
      try (Wire client = rig.request("unsafe", "a1")) {
        Wire server = rig.first.accept();
        server.bytes(cut);
        end(server, reset);
        assertThat("cut at " + cut, client.message().status(), is(502));
        assertThat("cut at " + cut, rig.second.alone(), is(true));
      }
      forgive();
    }
  }

  /** A promise is given only where the connection did not come about, so that no byte has left. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void connectionThatEndsBeforeAByteOfTheRequestIsRead(boolean reset) throws Exception {
    rig.serve(rig.first);
    for (int i = 0; i < 20; i++) {
      long before = connectionsThatFailed();
      try (Wire client = rig.request("unsafe", "a1")) {
        end(rig.first.accept(), reset);
        int status = client.message().status();
        boolean failed = connectionsThatFailed() > before;
        assertThat(status, is(failed ? 503 : 502));
      }
      forgive();
    }
  }

  private long connectionsThatFailed() throws Exception {
    return rig.onLoop(() -> rig.gateway.counters().of(RequestCounters.Event.CONNECT_FAILED));
  }

  private int lengthOfARequest() {
    try (Wire client = rig.request("unsafe", "a1")) {
      Wire server = rig.first.accept();
      int length = 0;
      String line = server.line();
      for (; !line.isEmpty(); line = server.line()) {
        length += line.length() + 2;
      }
      server.bytes("body".length());
      server.write(Rig.answer(200, "a1", "", "Elmsail-Postmark: p", "Connection: close"));
      client.message();
      return length + 2 + "body".length();
    }
  }

  @Test
  void keptConnectionThatIsResetUnderItsNextRequest() {
    Wire client = rig.request("unsafe", "a1");
    Wire server = rig.first.accept();
    server.message();
    server.write(Rig.answer(200, "a1", "x", "Elmsail-Postmark: p", "Keep-Alive: timeout=9"));
    client.message();
    rig.timers.pass(100);
    client.write(Rig.requestText("unsafe", "a2"));
    assertThat(server.bytes(1), is("P"));
    server.reset();
    assertThat(client.message().status(), is(502));
    assertThat(rig.first.alone() && rig.second.alone(), is(true));
  }

  @Test
  void extraAnswerIsNotTakenForTheNextRunOfTheSameId() {
    Wire client = rig.request("unsafe", "a1");
    Wire server = rig.first.accept();
    server.message();
    server.write(Rig.answer(200, "a1", "one", "Elmsail-Postmark: p", "Keep-Alive: timeout=9"));
    client.message();
    rig.timers.pass(100);
    client.write(Rig.requestText("unsafe", "a1"));
    Wire next = rig.first.accept();
    assertThat(next.message().header("Elmsail-Request-Id"), is("a1"));
    next.write(Rig.good("a1", "two"));
    assertThat(client.message().body(), is("two"));
  }
}
