package elmsail.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.notNullValue;

import elmsail.batch.BatchItem;
import elmsail.batch.ItemServers.RunOutcome;
import elmsail.batch.ItemServers.RunListener;
import elmsail.config.Route;
import elmsail.gateway.Wire.Message;
import elmsail.gateway.http.RequestCounters;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Servers that answer with errors of their own while connections to them work. */
class ErringServersTest {
  private static final BatchItem ITEM =
      new BatchItem("e5", "/sack/3/91", Map.of(), new byte[] {7}, 940);

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

  private static String error(int status, String id) {
    return Rig.answer(status, id, "why", "Elmsail-Postmark: p-first");
  }

  private static void assertFirstServersError(Message response) {
    assertThat(response.status(), is(500));
    assertThat(response.header("Elmsail-Postmark"), is("p-first"));
    assertThat(response.body(), is("why"));
  }

  @ParameterizedTest
  @ValueSource(ints = {500, 502, 504})
  void anErrorOfWhatMayBeRepeatedIsRetriedElsewhere(int status) {
    Wire client = rig.request("safe", "a1");
    rig.first.accept().write(error(status, "a1")).message();
    Wire other = rig.second.accept();
    assertThat(other.message().header("Elmsail-Expect-Server"), is("i-1"));
    other.write(Rig.good("a1", "x"));
    Message response = client.message();
    assertThat(response.status(), is(200));
    assertThat(response.header("Elmsail-Postmark"), is("stamp-a1"));
    assertThat(response.body(), is("x"));
  }

  @Test
  void aStreamThatMayBeResumedIsRetriedBeforeItsFirstEvent() {
    Wire client = rig.request("resume", "a1");
    rig.first.accept().write(error(500, "a1")).message();
    Wire other = rig.second.accept();
    other.message();
    other.write(Rig.streamHead("a1", "p-second")).write(Rig.chunk(Rig.event(0))).write("0\r\n\r\n");
    Message response = client.message();
    assertThat(response.header("Elmsail-Postmark"), is("p-second"));
    assertThat(response.body(), is(Rig.event(0)));
  }

  /** MIXED: status, stamp and body are those of one server. */
  @Test
  void theFirstErrorIsPassedOnWhereTheRetryDoesNotRun() {
    Wire client = rig.request("safe", "a1");
    rig.first.accept().write(error(500, "a1")).message();
    rig.second.accept().write(Rig.notRun(503, "a1")).message();
    assertFirstServersError(client.message());
  }

  @Test
  void theFirstErrorIsPassedOnWhereTheRetryBreaks() {
    Wire client = rig.request("safe", "a1");
    rig.first.accept().write(error(500, "a1")).message();
    Wire other = rig.second.accept();
    other.message();
    other.reset();
    assertFirstServersError(client.message());
  }

  @Test
  void theFirstErrorIsPassedOnWhereTheRetryHasNoAnswerInTime() {
    Wire client = rig.request("safe", "a1", "Elmsail-Deadline-Ms: 4000");
    rig.first.accept().write(error(500, "a1")).message();
    Wire other = rig.second.accept();
    other.message();
    rig.timers.pass(4_000);
    assertFirstServersError(client.message());
    assertThat(other.ended(), is(true));
  }

  /** BUDGET: the retry is told the time that is left. */
  @Test
  void theRetryIsToldTheTimeThatIsLeft() {
    rig.request("safe", "a1", "Elmsail-Deadline-Ms: 4000");
    Wire server = rig.first.accept();
    server.message();
    rig.timers.pass(400);
    server.write(error(500, "a1"));
    Message retried = rig.second.accept().message();
    assertThat(Long.parseLong(retried.header("Elmsail-Deadline-Ms")), lessThanOrEqualTo(3_600L));
  }

  /** BUDGET: a route that allows one server gets one. */
  @Test
  void noRetryBeyondTheTriesOfTheRoute() {
    rig.known.route("single", Route.Kind.SAFE, 1, false);
    Wire client = rig.request("single", "a1");
    rig.first.accept().write(error(500, "a1")).message();
    assertFirstServersError(client.message());
    assertThat(rig.second.alone(), is(true));
  }

  /** TWICE: what may not be repeated has its error at once. */
  @ParameterizedTest
  @ValueSource(strings = {"unsafe", "stream"})
  void anErrorOfWhatMayNotBeRepeatedIsPassedOnAtOnce(String route) {
    Wire client = rig.request(route, "a1");
    rig.first.accept().write(error(500, "a1")).message();
    assertFirstServersError(client.message());
    assertThat(rig.second.alone(), is(true));
  }

  /** GONE: a client that leaves ends its retry as well. */
  @Test
  void aClientThatLeavesEndsItsRetry() {
    Wire client = rig.request("safe", "a1");
    rig.first.accept().write(error(500, "a1")).message();
    Wire other = rig.second.accept();
    other.message();
    client.close();
    assertThat(other.ended(), is(true));
  }

  @Test
  void aServerThatErredIsAvoidedForAWhile() {
    Wire client = rig.request("unsafe", "a1");
    rig.first.accept().write(error(500, "a1")).message();
    assertFirstServersError(client.message());
    client.write(Rig.requestText("unsafe", "a2"));
    Wire other = rig.second.accept();
    assertThat(other.message().header("Elmsail-Request-Id"), is("a2"));
    other.write(Rig.good("a2", "x"));
    assertThat(client.message().status(), is(200));
  }

  @Test
  void aServerThatErredIsTakenWhereThereIsNoOther() throws Exception {
    rig.serve(rig.first);
    Wire client = rig.request("unsafe", "a1");
    Wire server = rig.first.accept();
    server.message();
    server.write(error(500, "a1"));
    assertFirstServersError(client.message());
    rig.timers.pass(100);
    client.write(Rig.requestText("unsafe", "a2"));
    server.message();
    server.write(Rig.good("a2", "x"));
    assertThat(client.message().status(), is(200));
  }

  @Test
  void aRequestThatMayBeRepeatedTriesAServerAgainThatErred() {
    Wire client = rig.request("unsafe", "a1");
    Wire server = rig.first.accept();
    server.message();
    server.write(error(500, "a1"));
    assertFirstServersError(client.message());
    rig.timers.pass(1_000);
    client.write(Rig.requestText("unsafe", "a2"));
    Wire other = rig.second.accept();
    assertThat(other.message().header("Elmsail-Request-Id"), is("a2"));
    other.write(Rig.good("a2", "x"));
    client.message();
    client.write(Rig.requestText("safe", "a3"));
    assertThat(
        rig.first.accept().write(error(500, "a3")).message().header("Elmsail-Request-Id"),
        is("a3"));
    Wire third = rig.second.accept();
    assertThat(third.message().header("Elmsail-Request-Id"), is("a3"));
    third.write(Rig.good("a3", "x"));
    assertThat(client.message().status(), is(200));
    assertThat(rig.gateway.counters().of(RequestCounters.Event.SERVER_ERRORED), is(2L));
    assertThat(rig.gateway.counters().of(RequestCounters.Event.PROBED), is(1L));
    assertThat(rig.gateway.counters().of(RequestCounters.Event.RETRIED_AFTER_ERROR), is(1L));
  }

  /** One erring server does not use up the tries of an item. */
  @Test
  void anItemIsNotSentAgainToTheServerThatFailedIt() throws Exception {
    BlockingQueue<RunOutcome> ends = new LinkedBlockingQueue<>();
    start(ends);
    Wire server = rig.first.accept();
    server.message();
    server.write(error(500, "e5"));
    assertThat(ends.poll(5, TimeUnit.SECONDS), is(RunOutcome.FAILED));
    rig.timers.pass(10_000); // the avoidance of the server is over as well
    start(ends);
    Wire other = rig.second.accept();
    assertThat(other, is(notNullValue()));
    assertThat(other.message().header("Elmsail-Expect-Server"), is("i-1"));
  }

  private void start(BlockingQueue<RunOutcome> ends) throws Exception {
    RunListener listener =
        new RunListener() {
          @Override
          public void onEvent(long id, byte[] data) {}

          @Override
          public void onEnded(RunOutcome how) {
            ends.add(how);
          }
        };
    Object run =
        rig.onLoop(
            () -> rig.gateway.itemServers().start(rig.known.routeByName("sack"), ITEM, -1, listener));
    assertThat(run, is(notNullValue()));
  }
}
