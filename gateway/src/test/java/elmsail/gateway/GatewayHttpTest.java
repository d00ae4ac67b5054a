package elmsail.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import elmsail.batch.BatchService.Reply;
import elmsail.gateway.Wire.Message;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What clients, the platform and calls about jobs get without a server. */
class GatewayHttpTest {
  /** Of the grace time of the rig, 8 s. */
  private static final long FIVE_SIXTHS_MS = 6_660;

  private static final long LONG_MS = 20_000;

  private Rig rig;

  @BeforeEach
  void open() throws Exception {
    rig = new Rig();
  }

  @AfterEach
  void close() {
    rig.close();
  }

  private Message ready() {
    try (Wire wire = Wire.to(rig.gateway.readyAddress())) {
      return wire.write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").message();
    }
  }

  @Test
  void isReadyWithAConfigurationAndServers() throws Exception {
    assertThat(ready().status(), is(200));
    rig.list(List.of());
    assertThat(ready().status(), is(503));
    rig.serve(rig.first);
    rig.known.configured = false;
    assertThat(ready().status(), is(503));
  }

  @Test
  void tellsItsFiguresWhereItIsAskedWhetherItIsReady() throws Exception {
    rig.request("nowhere", "a1").message();
    String asked = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
    try (Wire wire = Wire.to(rig.gateway.readyAddress())) {
      Message told = wire.write(asked).message();
      assertThat(told.status(), is(200));
      assertThat(told.body(), containsString("# TYPE elmsail_requests_no_route counter\n"));
      assertThat(told.body(), containsString("elmsail_requests_no_route 1\n"));
    }
    rig.list(List.of());
    assertThat("no reason to be ready", ready().status(), is(503));
    try (Wire wire = Wire.to(rig.gateway.readyAddress())) {
      assertThat("told also while not ready", wire.write(asked).message().status(), is(200));
    }
    try (Wire wire = Wire.to(rig.gateway.readyAddress())) {
      String posted = "POST /metrics HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
      assertThat(wire.write(posted).message().status(), is(405));
    }
  }

  @Test
  void beforeTheFirstConfigurationNothingIsDenied() {
    rig.known.configured = false;
    Message response = rig.request("nowhere", "a1").message();
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
  void whatCannotBeTakenIsRefusedAndNotSentOn(int status, String request) {
    Wire client =
        rig.client()
            .write(
                request.replace("~", "\r\n")
                    + (request.contains("1fff") ? "x".repeat(0x1fff) : ""));
    assertThat(client.message().status(), is(status));
    assertThat(rig.first.alone(), is(true));
  }

  @Test
  void aHeadThatIsTooLongIsRefused() {
    Wire client =
        rig.client().write("POST /safe/x HTTP/1.1\r\nX: " + "y".repeat(4_000) + "\r\n\r\n");
    assertThat(client.message().status(), is(431));
  }

  @Test
  void aRequestThatDoesNotComeIsNotWaitedForLong() {
    Wire client = rig.client().write("POST /safe/x HTTP/1.1\r\nHo");
    // Where the first of these comes before the part, the second one is behind it.
    rig.timers.pass(3_100);
    assertThat(rig.request("nowhere", "a").message().status(), is(404));
    rig.timers.pass(3_100);
    Message response = client.message();
    assertThat(response.status(), is(408));
    assertThat(response.header("Connection"), is("close"));
  }

  @Test
  void anIdleConnectionEndsLaterThanItsClientWasTold() {
    Wire client = rig.request("nowhere", "a1");
    assertThat(client.message().header("Keep-Alive"), is("timeout=14"));
    rig.timers.pass(14_500);
    client.write(Rig.requestText("nowhere", "a2"));
    assertThat(client.message().status(), is(404));
    rig.timers.pass(17_000);
    assertThat(client.ended(), is(true));
  }

  /** Idle is what has no request on it: one whose head or body is still coming isn't. */
  @Test
  void aRequestThatBeganBeforeItsConnectionWasIdleTooLongIsServed() {
    String text = Rig.requestText("unsafe", "a2");
    for (int cut : new int[] {1, 30, text.length() - 2}) {
      Wire client = rig.request("nowhere", "a1");
      assertThat(client.message().status(), is(404));
      rig.timers.pass(14_000);
      client.write(text.substring(0, cut));
      // The answer comes behind the part, which came on its own connection before.
      assertThat(rig.request("nowhere", "a9").message().status(), is(404));
      rig.timers.pass(2_500);
      client.write(text.substring(cut));
      Wire server = rig.first.accept();
      server.message();
      server.write(Rig.answer(200, "a2", "two", "Elmsail-Postmark: p", "Connection: close"));
      assertThat("cut at " + cut, client.message().body(), is("two"));
    }
  }

  @Test
  void aRequestThatIsAtItsServerForLongerThanAConnectionMayBeIdleIsAnswered() {
    rig.known.giveUpAfter(60_000);
    for (String route : new String[] {"safe", "unsafe", "stream"}) {
      Wire client = rig.request("nowhere", "a1");
      assertThat(client.message().status(), is(404));
      client.write(Rig.requestText(route, "a2"));
      Wire server = rig.first.accept();
      server.message();
      for (int i = 0; i < 6; i++) {
        rig.timers.pass(3_000);
      }
      server.write(Rig.answer(200, "a2", "two", "Elmsail-Postmark: p", "Connection: close"));
      assertThat(route, client.message().body(), is("two"));
    }
  }

  /** The end of idle connections in a stop passes over one whose request was just passed on. */
  @Test
  void aRequestOfAKeptConnectionThatWasPassedOnInAStopIsAnswered() throws Exception {
    Wire client = rig.request("nowhere", "a1");
    assertThat(client.message().status(), is(404));
    CompletableFuture<Void> stopped = rig.onLoop(rig.gateway::stop);
    rig.timers.pass(2_400);
    client.write(Rig.requestText("unsafe", "a2"));
    Wire server = rig.first.accept();
    server.message();
    rig.timers.pass(200);
    server.write(Rig.good("a2", "two"));
    Message response = client.message();
    assertThat(response.body(), is("two"));
    assertThat(response.header("Connection"), is("close"));
    stopped.get(5, TimeUnit.SECONDS);
  }

  /** What a client still writes behind a request that ends its connection isn't passed on. */
  @Test
  void whatComesBehindTheLastRequestOfAConnectionIsNotPassedOn() throws Exception {
    Wire client =
        rig.request("unsafe", "a1", "Connection: close").write(Rig.requestText("unsafe", "a2"));
    Wire server = rig.first.accept();
    server.message();
    server.write(Rig.good("a1", "one"));
    assertThat(client.message().body(), is("one"));
    assertThat(client.ended(), is(true));
    assertThat(rig.onLoop(() -> rig.first.alone()), is(true));
  }

  @Test
  void requestsBehindEachOtherAreAnsweredInTurn() {
    Wire client =
        rig.client()
            .write(
                Rig.requestText("unsafe", "a1")
                    + Rig.requestText("unsafe", "a2")
                    + Rig.requestText("nowhere", "a3"));
    Wire server = rig.first.accept();
    server.message();
    server.write(Rig.answer(200, "a1", "one", "Elmsail-Postmark: p", "Connection: close"));
    assertThat(client.message().body(), is("one"));
    Wire next = rig.first.accept();
    assertThat(next.message().header("Elmsail-Request-Id"), is("a2"));
    next.write(Rig.good("a2", "two"));
    assertThat(client.message().body(), is("two"));
    assertThat(client.message().status(), is(404));
  }

  @Test
  void aClientMayAskForTheEndOfItsConnection() {
    Wire client = rig.request("nowhere", "a1", "Connection: close");
    Message response = client.message();
    assertThat(response.header("Connection"), is("close"));
    assertThat(client.ended(), is(true));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "POST /sack/x | handIn sack L1 4",
        "GET /lots/L7?after=12 | read L7 12 900",
        "GET /lots/L7 | read L7 0 900",
        "DELETE /lots/L7 | end L7",
        "GET /items/L7?id=e5 | item L7 e5"
      })
  void callsAboutLotsAreMade(String call, String made) {
    rig.jobs.reply = new Reply(200, "{}".getBytes(StandardCharsets.US_ASCII), 0);
    Wire client =
        rig.client()
            .write(
                call
                    + " HTTP/1.1\r\nHost: "
                    + FakeKnown.HOST
                    + "\r\nElmsail-Request-Id: L1\r\nElmsail-Wait-Ms: 900\r\nContent-Length: 4\r\n\r\nbody");
    Message response = client.message();
    assertThat(response.status(), is(200));
    assertThat(response.body(), is("{}"));
    assertThat(rig.jobs.asked, is(made));
  }

  @Test
  void anUnclearOutcomeOfALotIsNoAnswer() {
    rig.jobs.reply = new Reply(0, new byte[0], 0);
    assertThat(rig.request("sack", "L1").message(), is(nullValue()));
  }

  @Test
  void aRefusedLotIsToldWhenToComeBack() {
    rig.jobs.reply = new Reply(429, new byte[0], 0.25);
    Message response = rig.request("sack", "L1").message();
    assertThat(response.status(), is(429));
    assertThat(response.header("Retry-After"), is("0.25"));
  }

  @Test
  void whileItStopsItServesWhatIsOpenAndWhatComes() throws Exception {
    Wire busy = rig.request("stream", "a1");
    Wire idle = rig.request("nowhere", "a0");
    idle.message();
    Wire server = rig.first.accept();
    server.message();
    server.write(Rig.streamHead("a1", "p")).write(Rig.chunk(Rig.event(0)));
    busy.head();
    busy.chunk();
    CompletableFuture<Void> stopped = rig.onLoop(rig.gateway::stop);
    assertThat(ready().status(), is(503));
    Message response = idle.write(Rig.requestText("nowhere", "a2")).message();
    assertThat(response.status(), is(404));
    assertThat(response.header("Connection"), is("close"));
    assertThat(idle.ended(), is(true));
    Wire late = rig.request("nowhere", "a3");
    assertThat(late.message().status(), is(404));
    Wire silent = rig.client();
    rig.timers.pass(2_600);
    assertThat(silent.ended(), is(true));
    server.write(Rig.chunk(Rig.event(1))).write("0\r\n\r\n");
    assertThat(busy.chunk(), is(Rig.event(1)));
    assertThat(busy.chunk(), is(""));
    stopped.get(5, TimeUnit.SECONDS);
  }

  @Test
  void itsStopIsOverSoonAfterFiveSixthsOfTheGraceTimeAndNotBefore() throws Exception {
    rig.known.giveUpAfter(LONG_MS);
    Wire busy = rig.request("stream", "a1");
    Wire server = rig.first.accept();
    server.message();
    CompletableFuture<Void> stopped = rig.onLoop(rig.gateway::stop);
    rig.timers.pass(2_600);
    rig.timers.pass(FIVE_SIXTHS_MS - 2_600);
    assertThat(rig.onLoop(stopped::isDone), is(false));
    rig.timers.pass(300);
    stopped.get(5, TimeUnit.SECONDS);
    assertThat(busy.message(), is(nullValue()));
  }

  /**
   * The server is at work until the last sixth of the grace time begins, in all kinds of routes.
   */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "unsafe", "stream", "resume"})
  void whatAServerAnswersBeforeTheLastSixthOfTheGraceTimeIsPassedOnWhole(String route)
      throws Exception {
    rig.known.giveUpAfter(LONG_MS);
    Wire before = rig.request(route, "a1");
    Wire first = rig.first.accept();
    first.message();
    CompletableFuture<Void> stopped = rig.onLoop(rig.gateway::stop);
    rig.timers.pass(2_400);
    Wire during = rig.request(route, "a2");
    Wire second = rig.first.accept();
    second.message();
    rig.timers.pass(200);
    rig.timers.pass(FIVE_SIXTHS_MS - 2_600);
    first.write(Rig.good("a1", "one"));
    second.write(Rig.good("a2", "two"));
    assertThat(before.message().body(), is("one"));
    assertThat(during.message().body(), is("two"));
    stopped.get(5, TimeUnit.SECONDS);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 40})
  void aClientThatDoesNotReadHoldsTheServerBack(int bursts) {
    Wire client = rig.request("stream", "a1");
    Wire server = rig.first.accept();
    server.message();
    server.write(Rig.streamHead("a1", "p"));
    String big = "id: 0\ndata: " + "z".repeat(4_000) + "\n\n";
    for (int i = 0; i < bursts; i++) {
      server.write(Rig.chunk(big));
    }
    server.write("0\r\n\r\n");
    assertThat(client.message().body().length(), is(bursts * big.length()));
  }
}
