package elmsail.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import elmsail.config.Route;
import elmsail.gateway.Wire.Message;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hamcrest.Matcher;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The rules about what a client may expect: times, headers, leaving, and refusals. */
class ClientRulesTest {
  private static final String DEADLINE = "Elmsail-Deadline-Ms";

  /** Of every route of the rig. */
  private static final int GIVE_UP_MS = 5_000;

  private Rig rig;

  @BeforeEach
  void open() throws Exception {
    rig = new Rig();
  }

  @AfterEach
  void close() {
    rig.close();
  }

  private static int deadline(Message asked) {
    return Integer.parseInt(asked.header(DEADLINE));
  }

  private static Matcher<Integer> within(int most) {
    return allOf(greaterThan(0), lessThanOrEqualTo(most));
  }

  /** BUDGET: what is left is counted from the client's arrival. */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "resume"})
  void aRequestThatIsSentOnceMoreTellsWhatIsLeftThen(String route) throws Exception {
    rig.serve(rig.first, rig.second);
    rig.request(route, "a1", DEADLINE + ": 4000");
    Wire server = rig.first.accept();
    assertThat(deadline(server.message()), within(4_000));
    rig.timers.pass(1_500);
    server.reset();
    assertThat(deadline(rig.second.accept().message()), within(2_500));
  }

  /** BUDGET: without a deadline that can be read, the route's own time is told. */
  @ParameterizedTest
  @ValueSource(strings = {"X-None: 1", DEADLINE + ": soon", DEADLINE + ": -7", DEADLINE + ":"})
  void withoutADeadlineTheRoutesTimeIsTold(String header) {
    for (String route : List.of("safe", "unsafe", "stream")) {
      rig.request(route, "a1", header);
      assertThat(deadline(rig.first.accept().message()), within(GIVE_UP_MS));
    }
  }

  /** BUDGET: a client's deadline beyond the route's time is cut down to that. */
  @Test
  void aDeadlineBeyondTheRoutesTimeIsCutDown() {
    rig.request("unsafe", "a1", DEADLINE + ": 600000");
    assertThat(deadline(rig.first.accept().message()), within(GIVE_UP_MS));
  }

  /** BUDGET: a request that waits behind another uses up its time meanwhile. */
  @Test
  void aRequestBehindAnotherIsCountedFromItsArrival() throws Exception {
    Wire client =
        rig.client()
            .write(
                Rig.requestText("unsafe", "a1", DEADLINE + ": 4000")
                    + Rig.requestText("unsafe", "a2", DEADLINE + ": 4000"));
    Wire server = rig.first.acceptRequest();
    rig.timers.pass(3_000);
    rig.onLoop(() -> null); // before the answer comes
    server.write(Rig.answer(200, "a1", "x", "Elmsail-Postmark: p", "Connection: close"));
    assertThat(client.message().status(), is(200));
    assertThat(deadline(rig.first.accept().message()), within(1_000));
  }

  /** BUDGET: tries bound the servers that got the request. */
  @Test
  void aRequestReachesNoMoreServersThanItsTries() throws Exception {
    try (Wire.Stall third = new Wire.Stall()) {
      rig.serve(rig.first, rig.second, third);
      Wire client = rig.request("safe", "a1");
      for (int tries = 0; tries < 2; tries++) {
        Wire server = takenBy(rig.first, rig.second, third);
        server.message();
        server.reset();
      }
      assertThat(client.message().status(), is(502));
      assertThat(rig.first.alone() && rig.second.alone() && third.alone(), is(true));
    }
  }

  /** The connection of whichever of these got the next one. */
  private static Wire takenBy(Wire.Stall... stalls) {
    for (long end = System.nanoTime() + 5_000_000_000L; System.nanoTime() < end; ) {
      for (Wire.Stall stall : stalls) {
        Wire one = stall.poll();
        if (one != null) {
          return one;
        }
      }
    }
    throw new AssertionError("no server got it");
  }

  /** GONE: a client that has sent more behind its request is seen to leave as well. */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "unsafe", "stream", "resume"})
  void aClientThatLeavesWithRequestsBehindItsFirstIsSeenToLeave(String route) {
    rig.known.routes.computeIfPresent("/" + route + "/", (prefix, r) -> with(r, 60_000, 1));
    Wire client =
        rig.client()
            .write(
                Rig.requestText(route, "a1")
                    + Rig.requestText(route, "a2")
                    + Rig.requestText(route, "a3"));
    Wire server = rig.first.acceptRequest();
    client.close();
    assertThat(server.ended(), is(true));
    assertThat("the others are not sent", rig.first.alone(), is(true));
  }

  /** GONE: who ends his side alone has left as well. */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "stream", "resume"})
  void aClientThatEndsItsSideHasLeft(String route) {
    Wire client = rig.request(route, "a1");
    Wire server = rig.first.acceptRequest();
    client.endSending();
    assertThat(server.ended(), is(true));
  }

  /** GONE: a stream under way is cut at the server, and is not taken up elsewhere. */
  @Test
  void aStreamThatItsClientLeftIsNotTakenUpElsewhere() throws Exception {
    rig.serve(rig.first, rig.second);
    Wire client = rig.request("resume", "a1");
    Wire server = rig.first.acceptRequest();
    server.write(Rig.streamHead("a1", "p")).write(Rig.chunk(Rig.event(0)));
    client.head();
    client.chunk();
    client.reset();
    assertThat(server.ended(), is(true));
    for (int i = 0; i < 6; i++) {
      rig.timers.pass(210);
    }
    assertThat(rig.second.alone(), is(true));
  }

  /** CONFIG: at the route's time there is a final answer, whatever the client allows. */
  @ParameterizedTest
  @CsvSource({"unsafe, 504", "safe, 504", "stream, 504"})
  void whatIsSilentAtTheRoutesTimeIsAnswered(String route, int status) {
    Wire client = rig.request(route, "a1");
    Wire server = rig.first.acceptRequest();
    rig.timers.pass(GIVE_UP_MS);
    assertThat(client.message().status(), is(status));
    assertThat(server.ended(), is(true));
  }

  /** CONFIG: a stream under way at the route's time ends there, and does not look complete. */
  @ParameterizedTest
  @ValueSource(strings = {"stream", "resume"})
  void aStreamUnderWayAtTheRoutesTimeIsCut(String route) {
    Wire client = rig.request(route, "a1");
    Wire server = rig.first.acceptRequest();
    server.write(Rig.streamHead("a1", "p")).write(Rig.chunk(Rig.event(0)));
    client.head();
    client.chunk();
    rig.timers.pass(GIVE_UP_MS);
    assertThat(client.chunk(), is(nullValue()));
    assertThat(server.ended(), is(true));
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
  void withoutAConfigurationEverythingIsToComeBack(String call) {
    rig.known.configured = false;
    Message response =
        rig.client()
            .write(
                call
                    + " HTTP/1.1\r\nHost: "
                    + FakeKnown.HOST
                    + "\r\nElmsail-Request-Id: a1\r\nContent-Length: 0\r\n\r\n")
            .message();
    assertThat(response.status(), is(503));
    assertThat(response.header("Retry-After"), is(notNullValue()));
  }

  /** UNASKED: what describes the prompt reaches the server byte for byte. */
  @Test
  void theHeadersOfThePromptPassUnchanged() {
    String model = "M odel;v=\"1\", x\u00e9\u00ff/%20";
    String tokens = "0001460,80";
    String prefix = "5C1e07a2:800,91bd3f06:410,  e4402b7d:250,,zz";
    rig.request(
        "unsafe",
        "a1",
        "elmsail-model: " + model,
        "Elmsail-Tokens: " + tokens,
        "ELMSAIL-PROMPT-PREFIX: " + prefix,
        "Expect-Version: 7",
        "Last-Event-Id: 3");
    Message asked = rig.first.accept().message();
    assertThat(asked.header("Elmsail-Model"), is(model));
    assertThat(asked.header("Elmsail-Tokens"), is(tokens));
    assertThat(asked.header("Elmsail-Prompt-Prefix"), is(prefix));
    assertThat(asked.header("Expect-Version"), is("7"));
    assertThat(asked.header("Last-Event-Id"), is("3"));
  }

  /** MIXED: a refusal of our own bears no server's stamp, whatever servers said. */
  @ParameterizedTest
  @CsvSource({"Elmsail-Not-Run: 1, 503", "X-None: 1, 502"})
  void anAnswerOfOurOwnBearsNoStamp(String header, int status) {
    Wire client = rig.request("once", "a1");
    Wire server = rig.first.acceptRequest();
    server.write(Rig.answer(429, "a1", "why", "Elmsail-Postmark: p", header));
    Message response = client.message();
    assertThat(response.status(), is(status));
    assertThat(response.header("Elmsail-Postmark"), is(nullValue()));
    assertThat(response.body(), is(""));
  }

  /** MIXED: a failure that bears a server's stamp has that server's status. */
  @ParameterizedTest
  @ValueSource(ints = {500, 422, 504, 400})
  void aFailureOfAServerKeepsItsStatusAndStamp(int status) {
    Wire client = rig.request("unsafe", "a1");
    Wire server = rig.first.acceptRequest();
    server.write(Rig.answer(status, "a1", "why", "Elmsail-Postmark: p", "Versions: 4"));
    Message response = client.message();
    assertThat(response.status(), is(status));
    assertThat(response.header("Elmsail-Postmark"), is("p"));
    assertThat(response.header("Versions"), is("4"));
  }

  /** ORDER: versions pass, in the head and inside events; a resumed stream keeps its first head. */
  @Test
  void versionsPassAndAResumedStreamKeepsItsFirstHead() throws Exception {
    rig.serve(rig.first, rig.second);
    Wire client = rig.request("resume", "a1");
    Wire server = rig.first.acceptRequest();
    String event = "versions: 8\nid: 0\ndata: e0\n\n";
    server
        .write(Rig.streamHead("a1", "p-1").replace("\r\n\r\n", "\r\nVersions: 7\r\n\r\n"))
        .write(Rig.chunk(event + "versions: 9\nid: 1\nda"));
    Message head = client.head();
    assertThat(head.header("Versions"), is("7"));
    assertThat(head.header("Elmsail-Postmark"), is("p-1"));
    assertThat(client.chunk(), is(event));
    server.reset();
    Wire other = rig.second.accept();
    assertThat(other.message().header("Last-Event-Id"), is("0"));
    String next = "versions: 9\nid: 1\ndata: e1\n\n";
    other.write(Rig.streamHead("a1", "p-2")).write(Rig.chunk(next)).write("0\r\n\r\n");
    assertThat(client.chunk(), is(next));
    assertThat(client.chunk(), is(""));
  }

  private static Route with(Route route, long giveUpMs, int precedence) {
    return new Route(
        route.name(),
        route.host(),
        route.prefix(),
        route.kind(),
        giveUpMs,
        route.latencyTargetMs(),
        precedence,
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
  void theRanksOfRoutesStayApart(int precedence, int priority) {
    rig.known.routes.computeIfPresent("/unsafe/", (prefix, r) -> with(r, GIVE_UP_MS, precedence));
    rig.request("unsafe", "a1");
    assertThat(rig.first.accept().message().header("Priority"), is(Integer.toString(priority)));
  }

  /** LOST: what is read whole too late for the grace time is refused and not begun. */
  @Test
  void aRequestThatIsWholeOnlyLateInAStopIsRefusedAndNotSent() throws Exception {
    String text = Rig.requestText("unsafe", "a1", "Expect: 100-continue");
    Wire client = rig.client().write(text.substring(0, text.length() - 2));
    assertThat("its head has come", client.head().status(), is(100));
    CompletableFuture<Void> stopped = rig.onLoop(rig.gateway::stop);
    rig.timers.pass(2_600);
    rig.timers.pass(500);
    rig.onLoop(() -> null); // the time has passed before the rest comes
    client.write(text.substring(text.length() - 2));
    Message response = client.message();
    assertThat(response.status(), is(503));
    assertThat(response.header("Connection"), is("close"));
    assertThat(rig.first.alone(), is(true));
    stopped.get(5, TimeUnit.SECONDS);
  }
}
