package elmsail.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import elmsail.batch.BatchItem;
import elmsail.batch.ItemServers.RunHandle;
import elmsail.batch.ItemServers.RunListener;
import elmsail.batch.ItemServers.RunOutcome;
import elmsail.batch.TenantName;
import elmsail.config.Tenant;
import elmsail.gateway.RawConnection.Message;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Items of batch jobs, sent over sockets to fake servers. */
class BatchItemExecutionTest extends GatewaySocketTest {
  private static final BatchItem ITEM =
      new BatchItem(
          "e5", "/sack/3/91", Map.of("Elmsail-Tokens", "540,400"), new byte[] {7, 8}, 940);

  private final BlockingQueue<String> listenerCalls = new LinkedBlockingQueue<>();
  private final RunListener listener =
      new RunListener() {
        @Override
        public void onEvent(long id, byte[] data) {
          listenerCalls.add(id + ":" + new String(data, StandardCharsets.ISO_8859_1));
        }

        @Override
        public void onEnded(RunOutcome result) {
          listenerCalls.add(result.name());
        }
      };

  private RunHandle startItem(long lastEventId) throws Exception {
    return harness.onLoop(
        () ->
            harness
                .gateway
                .itemServers()
                .start(
                    TenantName.NONE,
                    harness.clusterState.routeByName("sack"),
                    ITEM,
                    lastEventId,
                    listener));
  }

  private String nextListenerCall() throws Exception {
    return listenerCalls.poll(RawConnection.WAIT_MS, TimeUnit.MILLISECONDS);
  }

  @Test
  void itemIsSentAndItsEventsAreDelivered() throws Exception {
    startItem(-1);
    RawConnection server = harness.firstServer.accept();
    Message received = server.readMessage();
    assertThat(received.startLine(), is("POST /sack/3/91 HTTP/1.1"));
    assertThat(received.header("Host"), is(FakeClusterState.HOST));
    assertThat(received.header("Elmsail-Request-Id"), is("e5"));
    assertThat(received.header("Elmsail-Tokens"), is("540,400"));
    assertThat(received.header("Elmsail-Expect-Server"), is("i-0"));
    assertThat(received.header("Priority"), is("8"));
    assertThat(received.header("Last-Event-Id"), is(nullValue()));
    assertThat(received.body(), is("\u0007\b"));
    server
        .write(GatewayTestHarness.streamHead("e5", "p"))
        .write(GatewayTestHarness.chunk("id: 0\ndata: a\ndata: b\n\nid: 1\nda"));
    assertThat(nextListenerCall(), is("0:a\nb"));
    server.write(GatewayTestHarness.chunk("ta: c\n\n")).write("0\r\n\r\n");
    assertThat(nextListenerCall(), is("1:c"));
    assertThat(nextListenerCall(), is(RunOutcome.COMPLETED.name()));
  }

  @Test
  void resumesAfterTheLastEvent() throws Exception {
    startItem(3);
    RawConnection server = harness.firstServer.accept();
    assertThat(server.readMessage().header("Last-Event-Id"), is("3"));
    server
        .write(GatewayTestHarness.streamHead("e5", "p"))
        .write(GatewayTestHarness.chunk(GatewayTestHarness.event(4)))
        .write("0\r\n\r\n");
    assertThat(nextListenerCall(), is("4:e4"));
    assertThat(nextListenerCall(), is(RunOutcome.COMPLETED.name()));
  }

  @Test
  void outOfOrderEventsEndTheRunWithAnUnknownOutcome() throws Exception {
    startItem(3);
    RawConnection server = harness.firstServer.accept();
    server.readMessage();
    server
        .write(GatewayTestHarness.streamHead("e5", "p"))
        .write(GatewayTestHarness.chunk(GatewayTestHarness.event(5)));
    assertThat(nextListenerCall(), is(RunOutcome.OUTCOME_UNKNOWN.name()));
    assertThat(server.isClosedByPeer(), is(true));
  }

  private static Stream<Arguments> outcomesByStatus() {
    return Stream.of(
        arguments(500, RunOutcome.FAILED),
        arguments(422, RunOutcome.REJECTED),
        arguments(421, RunOutcome.NOT_RUN),
        arguments(504, RunOutcome.OUTCOME_UNKNOWN),
        arguments(503, RunOutcome.OUTCOME_UNKNOWN),
        arguments(404, RunOutcome.OUTCOME_UNKNOWN));
  }

  @ParameterizedTest
  @MethodSource("outcomesByStatus")
  void responseStatusDeterminesTheOutcome(int status, RunOutcome outcome) throws Exception {
    startItem(-1);
    RawConnection server = harness.firstServer.accept();
    server.readMessage();
    server.write(GatewayTestHarness.response(status, "e5", ""));
    assertThat(nextListenerCall(), is(outcome.name()));
  }

  @Test
  void notRunResponseIsReportedAsNotRun() throws Exception {
    startItem(-1);
    RawConnection server = harness.firstServer.accept();
    server.readMessage();
    server.write(GatewayTestHarness.notRunResponse(503, "e5"));
    assertThat(nextListenerCall(), is(RunOutcome.NOT_RUN.name()));
  }

  @Test
  void truncatedStreamHasAnUnknownOutcome() throws Exception {
    startItem(-1);
    RawConnection server = harness.firstServer.accept();
    server.readMessage();
    server
        .write(GatewayTestHarness.streamHead("e5", "p"))
        .write(GatewayTestHarness.chunk(GatewayTestHarness.event(0)));
    assertThat(nextListenerCall(), is("0:e0"));
    server.close();
    assertThat(nextListenerCall(), is(RunOutcome.OUTCOME_UNKNOWN.name()));
  }

  @Test
  void successWithoutPostmarkHasAnUnknownOutcome() throws Exception {
    startItem(-1);
    RawConnection server = harness.firstServer.accept();
    server.readMessage();
    server.write(
        GatewayTestHarness.response(
            200, "e5", GatewayTestHarness.event(0), "Content-Type: text/event-stream"));
    assertThat(nextListenerCall(), is(RunOutcome.OUTCOME_UNKNOWN.name()));
  }

  @Test
  void unreachableServerIsReportedAsNotRun() throws Exception {
    harness.firstServer.close();
    startItem(-1);
    assertThat(nextListenerCall(), is(RunOutcome.NOT_RUN.name()));
  }

  @Test
  void cancelClosesTheConnectionAndCallsNoListener() throws Exception {
    RunHandle run = startItem(-1);
    RawConnection server = harness.firstServer.accept();
    server.readMessage();
    harness.onLoop(
        () -> {
          run.cancel();
          return null;
        });
    assertThat(server.isClosedByPeer(), is(true));
    assertThat(listenerCalls.isEmpty(), is(true));
  }

  @Test
  void itemCapacityIsLimited() throws Exception {
    int capacity =
        harness.onLoop(
            () ->
                harness
                    .gateway
                    .itemServers()
                    .availableCapacity(harness.clusterState.routeByName("sack")));
    assertThat(capacity, is(12));
    for (int remaining = capacity; remaining > capacity - 4; remaining--) {
      int expected = remaining;
      assertThat(
          harness.onLoop(
              () ->
                  harness
                      .gateway
                      .itemServers()
                      .availableCapacity(harness.clusterState.routeByName("sack"))),
          is(expected));
      assertThat(startItem(-1), is(notNullValue()));
      assertThat("prompts do not start at the same time", startItem(-1), is(nullValue()));
      // Waits until the item is sent, because the clock is advanced past the connect timeout next.
      harness.firstServer.acceptRequest();
      harness.timers.advance(80);
    }
  }

  @Test
  void noItemStartsWhereRequestsAreQueued() throws Exception {
    RawConnection client = harness.request("unsafe", "a1");
    RawConnection server = harness.firstServer.accept();
    server.readMessage();
    server.write(
        GatewayTestHarness.response(
            200, "a1", "x", "Elmsail-Postmark: p", "Elmsail-Server-Load: 24,3,24"));
    client.readMessage();
    assertThat(
        harness.onLoop(
            () ->
                harness
                    .gateway
                    .itemServers()
                    .availableCapacity(harness.clusterState.routeByName("sack"))),
        is(0));
    harness.setServers(List.of());
    assertThat(startItem(-1), is(nullValue()));
  }

  /** Guards against an item that waits forever for a server that has become unresponsive. */
  @Test
  void itemAtAnUnresponsiveServerIsAborted() throws Exception {
    startItem(-1);
    RawConnection server = harness.firstServer.accept();
    server.readMessage();
    server
        .write(GatewayTestHarness.streamHead("e5", "p"))
        .write(GatewayTestHarness.chunk(GatewayTestHarness.event(0)));
    assertThat(nextListenerCall(), is("0:e0"));
    advanceInSteps(4_000);
    assertThat(nextListenerCall(), is(RunOutcome.OUTCOME_UNKNOWN.name()));
    assertThat(server.isClosedByPeer(), is(true));
  }

  /** Guards against an item that waits forever for a server that is no longer listed. */
  @Test
  void itemAtARemovedUnresponsiveServerIsAborted() throws Exception {
    startItem(-1);
    RawConnection server = harness.firstServer.accept();
    server.readMessage();
    harness.setServers(List.of());
    advanceInSteps(4_000);
    assertThat(nextListenerCall(), is(RunOutcome.OUTCOME_UNKNOWN.name()));
    assertThat(server.isClosedByPeer(), is(true));
  }

  /** A server that sends other responses is responsive, so an item that it has queued is kept. */
  @Test
  void itemQueuedAtABusyServerIsNotAborted() throws Exception {
    startItem(-1);
    RawConnection server = harness.firstServer.accept();
    server.readMessage();
    RawConnection client = harness.request("stream", "a1", "Elmsail-Deadline-Ms: 5000");
    RawConnection busy = harness.firstServer.accept();
    busy.readMessage();
    busy.write(
        GatewayTestHarness.streamHead("a1", "p")
            .replace("\r\n\r\n", "\r\nElmsail-Server-Load: 24,9,24\r\n\r\n"));
    for (int i = 0; i < 16; i++) {
      busy.write(GatewayTestHarness.chunk(GatewayTestHarness.event(i)));
      if (i == 0) {
        client.readHead();
      }
      assertThat(client.readChunk(), is(GatewayTestHarness.event(i)));
      harness.timers.advance(250);
    }
    server
        .write(GatewayTestHarness.streamHead("e5", "p"))
        .write(GatewayTestHarness.chunk(GatewayTestHarness.event(0)))
        .write("0\r\n\r\n");
    assertThat(nextListenerCall(), is("0:e0"));
    assertThat(nextListenerCall(), is(RunOutcome.COMPLETED.name()));
  }

  /** The headers of an item reach the server byte for byte, even if they are malformed. */
  @Test
  void itemHeadersAreForwardedUnchanged() throws Exception {
    Map<String, String> itemHeaders =
        Map.of(
            "Elmsail-Model", "M odel;v=\"1\", x\u00e9/%20",
            "Elmsail-Tokens", "0540,400",
            "Elmsail-Prompt-Prefix", "9C2e41:300,,5d07b8:240",
            "Elmsail-Deadline-Ms", "70000");
    BatchItem item = new BatchItem("e5", "/sack/3/91", itemHeaders, new byte[] {7}, 940);
    harness.onLoop(
        () ->
            harness
                .gateway
                .itemServers()
                .start(
                    TenantName.NONE, harness.clusterState.routeByName("sack"), item, -1, listener));
    Message received = harness.firstServer.accept().readMessage();
    itemHeaders.forEach((name, value) -> assertThat(received.header(name), is(value)));
  }

  /** Starts an item and returns the lines of the request head that the server gets. */
  private List<String> headOfSentItem(TenantName tenant, Map<String, String> itemHeaders)
      throws Exception {
    BatchItem item = new BatchItem("e5", "/sack/3/91", itemHeaders, new byte[] {7}, 940);
    harness.onLoop(
        () ->
            harness
                .gateway
                .itemServers()
                .start(tenant, harness.clusterState.routeByName("sack"), item, -1, listener));
    RawConnection server = harness.firstServer.accept();
    List<String> lines = new ArrayList<>();
    for (String line = server.readLine(); !line.isEmpty(); line = server.readLine()) {
      lines.add(line);
    }
    return lines;
  }

  /** The values of a header, in any case of its name. */
  private static List<String> headerValues(List<String> head, String name) {
    String start = name.toLowerCase(Locale.ROOT) + ":";
    return head.stream()
        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(start))
        .map(line -> line.substring(start.length()).strip())
        .toList();
  }

  /** Guards against an item that sends the name of another tenant in its own headers. */
  @ParameterizedTest
  @ValueSource(strings = {"Elmsail-Sender", "elmsail-sender", "ELMSAIL-SENDER"})
  void itemIsSentWithTheTenantOfItsJobOnly(String name) throws Exception {
    // The configuration no longer has the tenant of the job.
    harness.clusterState.tenantsByKey = Map.of("k", new Tenant("vopu11", 0));
    List<String> head =
        headOfSentItem(
            new TenantName("kaje80"),
            Map.of(name, "vopu11", "authorization", "Bearer x", "AUTHORIZATION", "Bearer y"));
    assertThat(headerValues(head, "Elmsail-Sender"), contains("kaje80"));
    assertThat(headerValues(head, "Authorization"), empty());
  }

  @Test
  void itemOfAJobWithoutATenantIsSentWithoutATenant() throws Exception {
    harness.clusterState.tenantsByKey = Map.of("k", new Tenant("vopu11", 0));
    List<String> head =
        headOfSentItem(
            TenantName.NONE, Map.of("Elmsail-Sender", "vopu11", "Authorization", "Bearer k"));
    assertThat(headerValues(head, "Elmsail-Sender"), empty());
    assertThat(headerValues(head, "Authorization"), empty());
  }

  @Test
  void authorizationOfAnItemIsForwardedIfTheConfigurationHasNoTenants() throws Exception {
    List<String> head = headOfSentItem(TenantName.NONE, Map.of("Authorization", "Basic x"));
    assertThat(headerValues(head, "Authorization"), contains("Basic x"));
  }

  /** Guards against sending an item that was cancelled while its connection was being opened. */
  @Test
  void itemCancelledBeforeSendingDoesNotReachTheServer() throws Exception {
    harness.onLoop(
        () -> {
          harness
              .gateway
              .itemServers()
              .start(TenantName.NONE, harness.clusterState.routeByName("sack"), ITEM, -1, listener)
              .cancel();
          return null;
        });
    RawConnection server = harness.firstServer.pollConnection();
    assertThat(server == null || server.isClosedByPeer(), is(true));
    assertThat(listenerCalls.isEmpty(), is(true));
  }

  private void advanceInSteps(long ms) {
    for (long elapsed = 0; elapsed < ms; elapsed += 250) {
      harness.timers.advance(250);
    }
  }
}
