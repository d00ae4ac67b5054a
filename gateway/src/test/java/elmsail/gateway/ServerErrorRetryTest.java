package elmsail.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.notNullValue;

import elmsail.batch.BatchItem;
import elmsail.batch.ItemServers.RunListener;
import elmsail.batch.ItemServers.RunOutcome;
import elmsail.batch.TenantName;
import elmsail.config.Route;
import elmsail.gateway.RawConnection.Message;
import elmsail.gateway.http.RequestCounters;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Servers that are reachable and respond with errors. */
class ServerErrorRetryTest extends GatewaySocketTest {
  private static final BatchItem ITEM =
      new BatchItem("e5", "/sack/3/91", Map.of(), new byte[] {7}, 940);

  @BeforeEach
  void listBothServers() throws Exception {
    harness.listServers(harness.firstServer, harness.secondServer);
  }

  private static String errorResponse(int status, String id) {
    return GatewayTestHarness.response(status, id, "why", "Elmsail-Postmark: p-first");
  }

  private static void assertFirstServersError(Message response) {
    assertThat(response.status(), is(500));
    assertThat(response.header("Elmsail-Postmark"), is("p-first"));
    assertThat(response.body(), is("why"));
  }

  @ParameterizedTest
  @ValueSource(ints = {500, 502, 504})
  void retryableErrorIsRetriedAtAnotherServer(int status) {
    RawConnection client = harness.request("safe", "a1");
    harness.firstServer.accept().write(errorResponse(status, "a1")).readMessage();
    RawConnection other = harness.secondServer.accept();
    assertThat(other.readMessage().header("Elmsail-Expect-Server"), is("i-1"));
    other.write(GatewayTestHarness.okResponse("a1", "x"));
    Message response = client.readMessage();
    assertThat(response.status(), is(200));
    assertThat(response.header("Elmsail-Postmark"), is("stamp-a1"));
    assertThat(response.body(), is("x"));
  }

  @Test
  void resumableStreamIsRetriedBeforeItsFirstEvent() {
    RawConnection client = harness.request("resume", "a1");
    harness.firstServer.accept().write(errorResponse(500, "a1")).readMessage();
    RawConnection other = harness.secondServer.accept();
    other.readMessage();
    other
        .write(GatewayTestHarness.streamHead("a1", "p-second"))
        .write(GatewayTestHarness.chunk(GatewayTestHarness.event(0)))
        .write("0\r\n\r\n");
    Message response = client.readMessage();
    assertThat(response.header("Elmsail-Postmark"), is("p-second"));
    assertThat(response.body(), is(GatewayTestHarness.event(0)));
  }

  /** Guards against a response that mixes status, postmark and body of two servers. */
  @Test
  void firstErrorIsRelayedWhenTheRetryDoesNotRun() {
    RawConnection client = harness.request("safe", "a1");
    harness.firstServer.accept().write(errorResponse(500, "a1")).readMessage();
    harness.secondServer.accept().write(GatewayTestHarness.notRunResponse(503, "a1")).readMessage();
    assertFirstServersError(client.readMessage());
  }

  @Test
  void firstErrorIsRelayedWhenTheRetryIsReset() {
    RawConnection client = harness.request("safe", "a1");
    harness.firstServer.accept().write(errorResponse(500, "a1")).readMessage();
    RawConnection other = harness.secondServer.accept();
    other.readMessage();
    other.reset();
    assertFirstServersError(client.readMessage());
  }

  @Test
  void firstErrorIsRelayedWhenTheRetryTimesOut() {
    RawConnection client = harness.request("safe", "a1", "Elmsail-Deadline-Ms: 4000");
    harness.firstServer.accept().write(errorResponse(500, "a1")).readMessage();
    RawConnection other = harness.secondServer.accept();
    other.readMessage();
    harness.timers.advance(4_000);
    assertFirstServersError(client.readMessage());
    assertThat(other.isClosedByPeer(), is(true));
  }

  /** Guards against a retry that is sent with the request's original deadline. */
  @Test
  void retryCarriesTheRemainingDeadline() {
    harness.request("safe", "a1", "Elmsail-Deadline-Ms: 4000");
    RawConnection server = harness.firstServer.accept();
    server.readMessage();
    harness.timers.advance(400);
    server.write(errorResponse(500, "a1"));
    Message retried = harness.secondServer.accept().readMessage();
    assertThat(Long.parseLong(retried.header("Elmsail-Deadline-Ms")), lessThanOrEqualTo(3_600L));
  }

  @Test
  void noRetryBeyondTheRoutesAttempts() {
    harness.clusterState.addRoute("single", Route.Kind.SAFE, 1, false);
    RawConnection client = harness.request("single", "a1");
    harness.firstServer.accept().write(errorResponse(500, "a1")).readMessage();
    assertFirstServersError(client.readMessage());
    assertThat(harness.secondServer.hasNoConnection(), is(true));
  }

  /** Guards against running a request twice on a route that is not idempotent. */
  @ParameterizedTest
  @ValueSource(strings = {"unsafe", "stream"})
  void errorOfANonIdempotentRouteIsRelayedWithoutRetry(String route) {
    RawConnection client = harness.request(route, "a1");
    harness.firstServer.accept().write(errorResponse(500, "a1")).readMessage();
    assertFirstServersError(client.readMessage());
    assertThat(harness.secondServer.hasNoConnection(), is(true));
  }

  @Test
  void clientDisconnectCancelsTheRetry() {
    RawConnection client = harness.request("safe", "a1");
    harness.firstServer.accept().write(errorResponse(500, "a1")).readMessage();
    RawConnection other = harness.secondServer.accept();
    other.readMessage();
    client.close();
    assertThat(other.isClosedByPeer(), is(true));
  }

  @Test
  void serverIsEjectedAfterAnError() {
    RawConnection client = harness.request("unsafe", "a1");
    harness.firstServer.accept().write(errorResponse(500, "a1")).readMessage();
    assertFirstServersError(client.readMessage());
    client.write(GatewayTestHarness.requestText("unsafe", "a2"));
    RawConnection other = harness.secondServer.accept();
    assertThat(other.readMessage().header("Elmsail-Request-Id"), is("a2"));
    other.write(GatewayTestHarness.okResponse("a2", "x"));
    assertThat(client.readMessage().status(), is(200));
  }

  @Test
  void ejectedServerIsUsedIfItIsTheOnlyOne() throws Exception {
    harness.listServers(harness.firstServer);
    RawConnection client = harness.request("unsafe", "a1");
    RawConnection server = harness.firstServer.accept();
    server.readMessage();
    server.write(errorResponse(500, "a1"));
    assertFirstServersError(client.readMessage());
    harness.timers.advance(100);
    client.write(GatewayTestHarness.requestText("unsafe", "a2"));
    server.readMessage();
    server.write(GatewayTestHarness.okResponse("a2", "x"));
    assertThat(client.readMessage().status(), is(200));
  }

  @Test
  void retryableRequestProbesAnEjectedServer() {
    RawConnection client = harness.request("unsafe", "a1");
    RawConnection server = harness.firstServer.accept();
    server.readMessage();
    server.write(errorResponse(500, "a1"));
    assertFirstServersError(client.readMessage());
    harness.timers.advance(1_000);
    client.write(GatewayTestHarness.requestText("unsafe", "a2"));
    RawConnection other = harness.secondServer.accept();
    assertThat(other.readMessage().header("Elmsail-Request-Id"), is("a2"));
    other.write(GatewayTestHarness.okResponse("a2", "x"));
    client.readMessage();
    client.write(GatewayTestHarness.requestText("safe", "a3"));
    assertThat(
        harness
            .firstServer
            .accept()
            .write(errorResponse(500, "a3"))
            .readMessage()
            .header("Elmsail-Request-Id"),
        is("a3"));
    RawConnection third = harness.secondServer.accept();
    assertThat(third.readMessage().header("Elmsail-Request-Id"), is("a3"));
    third.write(GatewayTestHarness.okResponse("a3", "x"));
    assertThat(client.readMessage().status(), is(200));
    assertThat(harness.gateway.counters().total(RequestCounters.Event.SERVER_EJECTED), is(2L));
    assertThat(harness.gateway.counters().total(RequestCounters.Event.PROBED), is(1L));
    assertThat(harness.gateway.counters().total(RequestCounters.Event.RETRIED_AFTER_ERROR), is(1L));
  }

  /** Guards against one failing server that uses up all attempts of an item. */
  @Test
  void itemIsNotRetriedAtTheServerThatFailedIt() throws Exception {
    BlockingQueue<RunOutcome> outcomes = new LinkedBlockingQueue<>();
    startItem(outcomes);
    RawConnection server = harness.firstServer.accept();
    server.readMessage();
    server.write(errorResponse(500, "e5"));
    assertThat(outcomes.poll(RawConnection.WAIT_MS, TimeUnit.MILLISECONDS), is(RunOutcome.FAILED));
    harness.timers.advance(10_000); // the server's ejection is over, too
    startItem(outcomes);
    RawConnection other = harness.secondServer.accept();
    assertThat(other, is(notNullValue()));
    assertThat(other.readMessage().header("Elmsail-Expect-Server"), is("i-1"));
  }

  private void startItem(BlockingQueue<RunOutcome> outcomes) throws Exception {
    RunListener listener =
        new RunListener() {
          @Override
          public void onEvent(long id, byte[] data) {}

          @Override
          public void onEnded(RunOutcome result) {
            outcomes.add(result);
          }
        };
    Object run =
        harness.onLoop(
            () ->
                harness
                    .gateway
                    .itemServers()
                    .start(
                        TenantName.NONE,
                        harness.clusterState.routeByName("sack"),
                        ITEM,
                        -1,
                        listener));
    assertThat(run, is(notNullValue()));
  }
}
