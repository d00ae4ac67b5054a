package elmsail.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import elmsail.gateway.Wire.Message;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests over sockets, from a client past the gateway to stand-in servers. */
class RequestForwarderTest {
  private Rig rig;

  @BeforeEach
  void open() throws Exception {
    rig = new Rig();
  }

  @AfterEach
  void close() throws Exception {
    rig.close();
  }

  @Test
  void requestAndAnswerPassUnchanged() {
    Wire client =
        rig.request(
            "unsafe",
            "a1",
            "Elmsail-Deadline-Ms: 2000",
            "X-Own: 7",
            "Connection: x-hop",
            "X-Hop: 1",
            "TE: trailers",
            "Proxy-Thing: 1");
    Wire server = rig.first.accept();
    Message asked = server.message();
    assertThat(asked.first(), is("POST /unsafe/2f HTTP/1.1"));
    assertThat(asked.body(), is("body"));
    assertThat(asked.header("Host"), is(FakeKnown.HOST));
    assertThat(asked.header("Elmsail-Request-Id"), is("a1"));
    assertThat(asked.header("Elmsail-Expect-Server"), is("i-0"));
    assertThat(asked.header("X-Own"), is("7"));
    assertThat(asked.header("X-Hop"), is(nullValue()));
    assertThat(asked.header("TE"), is(nullValue()));
    assertThat(asked.header("Proxy-Thing"), is(nullValue()));
    assertThat(
        Integer.parseInt(asked.header("Elmsail-Deadline-Ms")),
        allOf(greaterThan(0), lessThanOrEqualTo(2_000)));
    server.write(
        Rig.answer(
            200, "a1", "bytes", "Elmsail-Postmark: p.1", "X-Server: 3", "Keep-Alive: timeout=9"));
    Message response = client.message();
    assertThat(response.status(), is(200));
    assertThat(response.body(), is("bytes"));
    assertThat(response.header("Elmsail-Postmark"), is("p.1"));
    assertThat(response.header("X-Server"), is("3"));
    assertThat(response.header("Keep-Alive"), is("timeout=14"));
  }

  @Test
  void connectionsOfBothSidesAreKept() throws Exception {
    Wire client = rig.request("unsafe", "a1");
    Wire server = rig.first.acceptRequest();
    server.write(Rig.answer(200, "a1", "one", "Elmsail-Postmark: p", "Keep-Alive: timeout=9"));
    assertThat(client.message().body(), is("one"));
    rig.timers.pass(100);
    client.write(Rig.requestText("unsafe", "a2"));
    assertThat(server.message().header("Elmsail-Request-Id"), is("a2"));
    server.write(Rig.good("a2", "two"));
    assertThat(client.message().body(), is("two"));
  }

  @Test
  void bodyInChunksArrivesWhole() {
    Wire client =
        rig.client()
            .write(
                "POST /unsafe/ HTTP/1.1\r\nHost: "
                    + FakeKnown.HOST
                    + "\r\nElmsail-Request-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    Wire server = rig.first.accept();
    Message asked = server.message();
    assertThat(asked.body(), is("abcde"));
    assertThat(asked.header("Content-Length"), is("5"));
    server.write(Rig.good("a1", "x"));
    assertThat(client.message().status(), is(200));
  }

  @Test
  void eventsPassAsTheyCome() {
    Wire client = rig.request("stream", "a1");
    Wire server = rig.first.acceptRequest();
    server.write(Rig.streamHead("a1", "p")).write(Rig.chunk(Rig.event(0)));
    assertThat(client.head().header("Elmsail-Postmark"), is("p"));
    assertThat(client.chunk(), is(Rig.event(0)));
    server.write(Rig.chunk(Rig.event(1)));
    assertThat(client.chunk(), is(Rig.event(1)));
    server.write("0\r\n\r\n");
    assertThat(client.chunk(), is(""));
  }

  @ParameterizedTest
  @ValueSource(ints = {503, 429, 421, 408, 504})
  void whatDidNotRunGoesToAnotherServer(int status) throws Exception {
    rig.serve(rig.first, rig.second);
    Wire client = rig.request("unsafe", "a1");
    Wire server = rig.first.acceptRequest();
    server.write(status == 421 ? Rig.answer(421, "a1", "") : Rig.notRun(status, "a1"));
    Wire other = rig.second.accept();
    assertThat(other.message().header("Elmsail-Expect-Server"), is("i-1"));
    other.write(Rig.good("a1", "x"));
    assertThat(client.message().body(), is("x"));
  }

  @Test
  void whatNoServerRanIsRefusedWithATime() throws Exception {
    rig.serve(rig.first, rig.second);
    Wire client = rig.request("unsafe", "a1");
    rig.first.accept().write(Rig.notRun(503, "a1")).message();
    rig.second.accept().write(Rig.notRun(503, "a1")).message();
    Message response = client.message();
    assertThat(response.status(), is(503));
    assertThat(Double.parseDouble(response.header("Retry-After")), is(greaterThan(0.0)));
  }

  @Test
  void noMoreServersThanTheRouteAllows() throws Exception {
    rig.serve(rig.first, rig.second);
    Wire client = rig.request("once", "a1");
    rig.first.accept().write(Rig.notRun(503, "a1")).message();
    assertThat(client.message().status(), is(503));
    assertThat(rig.second.alone(), is(true));
  }

  @Test
  void whatMayHaveRunIsNeitherRepeatedNorRefused() throws Exception {
    rig.serve(rig.first, rig.second);
    Wire client = rig.request("unsafe", "a1");
    Wire server = rig.first.acceptRequest();
    server.reset();
    assertThat(client.message().status(), is(502));
    assertThat(rig.second.alone(), is(true));
  }

  @ParameterizedTest
  @ValueSource(ints = {503, 429, 408})
  void aPromiseThatTheServerDidNotGiveIsNotPassedOn(int status) throws Exception {
    rig.serve(rig.first, rig.second);
    Wire client = rig.request("unsafe", "a1");
    Wire server = rig.first.acceptRequest();
    server.write(Rig.answer(status, "a1", ""));
    assertThat(client.message().status(), is(502));
    assertThat(rig.second.alone(), is(true));
  }

  @Test
  void safeRequestsAreRepeated() throws Exception {
    rig.serve(rig.first, rig.second);
    Wire client = rig.request("safe", "a1");
    Wire server = rig.first.acceptRequest();
    server.write(
        "HTTP/1.1 200 OK\r\nElmsail-Request-Id: a1\r\nElmsail-Postmark: p\r\n"
            + "Content-Length: 9\r\n\r\n12");
    server.reset();
    Wire other = rig.second.acceptRequest();
    other.write(Rig.good("a1", "whole"));
    assertThat(client.message().body(), is("whole"));
  }

  @ParameterizedTest
  @ValueSource(ints = {500, 422, 504, 400, 404})
  void theServersOwnStatusesPass(int status) {
    Wire client = rig.request("unsafe", "a1");
    Wire server = rig.first.acceptRequest();
    server.write(Rig.answer(status, "a1", "why", "Elmsail-Postmark: p"));
    Message response = client.message();
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
  void whatIsNoAnswerIsNotPassedOn(String bytes) {
    Wire client = rig.request("unsafe", "a1");
    Wire server = rig.first.acceptRequest();
    server.write(bytes);
    assertThat(client.message().status(), is(502));
    assertThat(server.ended(), is(true));
  }

  @Test
  void bytesBehindAnAnswerEndTheConnection() throws Exception {
    Wire client = rig.request("unsafe", "a1");
    Wire server = rig.first.acceptRequest();
    server.write(Rig.good("a1", "x") + Rig.good("a1", "extra"));
    assertThat(client.message().body(), is("x"));
    assertThat(server.ended(), is(true));
    client.write(Rig.requestText("unsafe", "a2"));
    Wire next = rig.first.acceptRequest();
    next.write(Rig.good("a2", "right"));
    assertThat(client.message().body(), is("right"));
  }

  @Test
  void anExtraAnswerOnAnIdleConnectionEndsIt() {
    Wire client = rig.request("unsafe", "a1");
    Wire server = rig.first.acceptRequest();
    server.write(Rig.good("a1", "x"));
    assertThat(client.message().body(), is("x"));
    server.write("HT");
    assertThat(server.ended(), is(true));
  }

  @Test
  void aCutStreamNeverLooksComplete() {
    Wire client = rig.request("stream", "a1");
    Wire server = rig.first.acceptRequest();
    server.write(Rig.streamHead("a1", "p")).write(Rig.chunk(Rig.event(0)));
    client.head();
    assertThat(client.chunk(), is(Rig.event(0)));
    server.reset();
    assertThat(client.chunk(), is(nullValue()));
  }

  @Test
  void aCutStreamGoesOnAtAnotherServerWithinOneAnswer() throws Exception {
    rig.serve(rig.first, rig.second);
    Wire client = rig.request("resume", "a1");
    Wire server = rig.first.acceptRequest();
    server
        .write(Rig.streamHead("a1", "p-first"))
        .write(Rig.chunk(Rig.event(0) + Rig.event(1) + "id: 2\ndata: ha"));
    assertThat(client.head().header("Elmsail-Postmark"), is("p-first"));
    String both = client.chunk();
    both += both.length() < 2 * Rig.event(0).length() ? client.chunk() : "";
    assertThat(both, is(Rig.event(0) + Rig.event(1)));
    server.reset();
    Wire other = rig.second.accept();
    Message asked = other.message();
    assertThat(asked.header("Last-Event-Id"), is("1"));
    assertThat(asked.header("Elmsail-Request-Id"), is("a1"));
    other.write(Rig.streamHead("a1", "p-second")).write(Rig.chunk(Rig.event(2))).write("0\r\n\r\n");
    assertThat(client.chunk(), is(Rig.event(2)));
    assertThat(client.chunk(), is(""));
  }

  @Test
  void aRunThatDoesNotGoOnWhereItShouldIsNotJoined() throws Exception {
    rig.serve(rig.first, rig.second);
    Wire client = rig.request("resume", "a1");
    Wire server = rig.first.acceptRequest();
    server.write(Rig.streamHead("a1", "p")).write(Rig.chunk(Rig.event(0)));
    client.head();
    client.chunk();
    server.reset();
    Wire other = rig.second.acceptRequest();
    other.write(Rig.streamHead("a1", "p")).write(Rig.chunk(Rig.event(0)));
    assertThat(client.chunk(), is(nullValue()));
    assertThat(other.ended(), is(true));
  }

  @Test
  void aStreamWithoutAnEventYetRunsAnewWhereItMay() throws Exception {
    rig.serve(rig.first, rig.second);
    Wire client = rig.request("resume", "a1");
    Wire server = rig.first.acceptRequest();
    server.write(Rig.streamHead("a1", "p-first")).write(Rig.chunk("id: 0\nda"));
    server.reset();
    Wire other = rig.second.accept();
    assertThat(other.message().header("Last-Event-Id"), is(nullValue()));
    other.write(Rig.streamHead("a1", "p-second")).write(Rig.chunk(Rig.event(0))).write("0\r\n\r\n");
    Message response = client.message();
    assertThat(response.header("Elmsail-Postmark"), is("p-second"));
    assertThat(response.body(), is(Rig.event(0)));
  }

  @Test
  void aClientThatLeavesEndsTheRunAtItsServer() {
    Wire client = rig.request("stream", "a1");
    Wire server = rig.first.acceptRequest();
    client.close();
    assertThat(server.ended(), is(true));
  }

  @Test
  void atTheEndOfItsTimeWhatWasSentIsAnsweredAsSuch() {
    Wire client = rig.request("unsafe", "a1", "Elmsail-Deadline-Ms: 4000");
    Wire server = rig.first.acceptRequest();
    rig.timers.pass(4_000);
    assertThat(client.message().status(), is(504));
    assertThat(server.ended(), is(true));
  }

  @Test
  void aServerThatDoesNotTakeConnectionsIsPassedOver() throws Exception {
    rig.serve(rig.first, rig.second);
    rig.first.close();
    Wire client = rig.request("once", "a1");
    Wire other = rig.second.accept();
    assertThat(other.message(), is(notNullValue()));
    other.write(Rig.good("a1", "x"));
    assertThat(client.message().body(), is("x"));
  }

  @Test
  void aServerThatLeavesGetsNothingNewAndItsIdleConnectionsEnd() throws Exception {
    Wire client = rig.request("unsafe", "a1");
    Wire server = rig.first.acceptRequest();
    server.write(Rig.good("a1", "x"));
    client.message();
    rig.list(List.of());
    assertThat(server.ended(), is(true));
    client.write(Rig.requestText("unsafe", "a2"));
    Message response = client.message();
    assertThat(response.status(), is(503));
    assertThat(response.header("Retry-After"), is(notNullValue()));
  }

  @Test
  void whatRunsAtALeavingServerGoesOn() throws Exception {
    Wire client = rig.request("unsafe", "a1");
    Wire server = rig.first.acceptRequest();
    rig.list(List.of());
    server.write(Rig.good("a1", "x"));
    assertThat(client.message().body(), is("x"));
    assertThat(server.ended(), is(true));
  }

  @Test
  void whatMayBeRepeatedLeavesAServerThatHasGoneDark() throws Exception {
    rig.serve(rig.first, rig.second);
    Wire client = rig.request("resume", "a1");
    Wire server = rig.first.acceptRequest();
    server.write(Rig.streamHead("a1", "p")).write(Rig.chunk(Rig.event(0)));
    client.head();
    client.chunk();
    for (int i = 0; i < 6; i++) {
      rig.timers.pass(210);
    }
    Wire other = rig.second.accept();
    assertThat(other.message().header("Last-Event-Id"), is("0"));
    other.write(Rig.streamHead("a1", "p")).write(Rig.chunk(Rig.event(1))).write("0\r\n\r\n");
    assertThat(client.chunk(), is(Rig.event(1)));
    assertThat(client.chunk(), is(""));
    assertThat(server.ended(), is(true));
  }

  @Test
  void whatMayNotBeRepeatedStaysWithASilentServer() throws Exception {
    rig.serve(rig.first, rig.second);
    Wire client = rig.request("stream", "a1");
    Wire server = rig.first.acceptRequest();
    for (int i = 0; i < 6; i++) {
      rig.timers.pass(210);
    }
    server.write(Rig.streamHead("a1", "p")).write(Rig.chunk(Rig.event(0))).write("0\r\n\r\n");
    assertThat(client.message().body(), is(Rig.event(0)));
    assertThat(rig.second.alone(), is(true));
  }

  @Test
  void afterASilenceANewConnectionIsTriedBeforeAnythingIsSent() throws Exception {
    Wire client = rig.request("unsafe", "a1", "Elmsail-Deadline-Ms: 4000");
    Wire server = rig.first.acceptRequest();
    rig.timers.pass(4_000);
    assertThat(client.message().status(), is(504));
    client.write(Rig.requestText("unsafe", "a2"));
    Wire next = rig.first.accept();
    assertThat(next.message().header("Elmsail-Request-Id"), is("a2"));
    next.write(Rig.good("a2", "x"));
    assertThat(client.message().body(), is("x"));
  }

  @Test
  void aStreamOfAnotherTypePassesAsItComes() {
    Wire client = rig.request("resume", "a1");
    Wire server = rig.first.acceptRequest();
    server
        .write(Rig.streamHead("a1", "p").replace("text/event-stream", "text/plain"))
        .write(Rig.chunk("ab"));
    assertThat(client.head().header("Content-Type"), is("text/plain"));
    assertThat(client.chunk(), is("ab"));
    server.write("0\r\n\r\n");
    assertThat(client.chunk(), is(""));
  }

  @Test
  void aLongAnswerPassesBeforeItIsWhole() {
    Wire client = rig.request("safe", "a1");
    Wire server = rig.first.acceptRequest();
    String half = "x".repeat(40_000);
    server.write(
        "HTTP/1.1 200 OK\r\nElmsail-Request-Id: a1\r\nElmsail-Postmark: p\r\n"
            + "Content-Length: 120000\r\n\r\n"
            + half
            + half);
    assertThat(client.head().header("Content-Length"), is("120000"));
    assertThat(client.bytes(70_000).length(), is(70_000));
    server.write(half);
    assertThat(client.bytes(50_000).length(), is(50_000));
  }

  @Test
  void anAnswerToHeadHasNoBody() {
    Wire client = rig.client().write(Rig.requestText("safe", "a1").replace("POST", "HEAD"));
    Wire server = rig.first.accept();
    assertThat(server.message().first(), is("HEAD /safe/2f HTTP/1.1"));
    server.write(
        "HTTP/1.1 200 OK\r\nElmsail-Request-Id: a1\r\nElmsail-Postmark: p\r\n"
            + "Content-Length: 120\r\n\r\n");
    assertThat(client.head().status(), is(200));
    client.write(Rig.requestText("nowhere", "a2"));
    assertThat(client.message().status(), is(404));
  }

  @Test
  void aStreamIsCutAtTheEndOfItsTime() {
    Wire client = rig.request("stream", "a1", "Elmsail-Deadline-Ms: 4000");
    Wire server = rig.first.acceptRequest();
    server.write(Rig.streamHead("a1", "p")).write(Rig.chunk(Rig.event(0)));
    client.head();
    client.chunk();
    rig.timers.pass(4_000);
    assertThat(client.chunk(), is(nullValue()));
    assertThat(server.ended(), is(true));
  }
}
