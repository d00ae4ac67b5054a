package elmsail.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.oneOf;
import static org.hamcrest.Matchers.startsWith;

import elmsail.gateway.RawConnection.Message;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Sends many requests to two servers that inject random faults, chosen from a seed, and checks the
 * protocol rules on each response. The rules: a request whose route does not allow retries runs at
 * most once, a 503 is sent only if the request has not run, and an incomplete or foreign response
 * is never passed off as complete.
 */
class FaultInjectionTest {
  private static final int REQUESTS = 120;
  private static final int EVENTS_PER_STREAM = 4;

  /** The number of runs of each request, counted when a server starts to process the request. */
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();

  /** Runs one fake server, with a thread for each connection, until the harness closes. */
  private Thread serve(RawConnection.FakeServer fakeServer, long seed) {
    Thread thread =
        new Thread(
            () -> {
              SplittableRandom random = new SplittableRandom(seed);
              try {
                while (true) {
                  RawConnection connection = fakeServer.accept();
                  SplittableRandom connectionRandom = random.split();
                  Thread connectionThread =
                      new Thread(() -> serveConnection(connection, connectionRandom));
                  connectionThread.setDaemon(true);
                  connectionThread.start();
                }
              } catch (UncheckedIOException e) {
                return; // the harness has closed
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private void serveConnection(RawConnection connection, SplittableRandom random) {
    try (connection) {
      for (Message received = connection.readMessage();
          received != null;
          received = connection.readMessage()) {
        if (!respond(connection, received, random)) {
          return;
        }
      }
    } catch (UncheckedIOException e) {
      return; // the gateway has closed the connection
    }
  }

  /** Responds to one request; returns false if the connection must be closed. */
  private boolean respond(RawConnection connection, Message received, SplittableRandom random) {
    String id = received.header("Elmsail-Request-Id");
    int fault = random.nextInt(12);
    if (fault == 0) {
      connection.write(GatewayTestHarness.notRunResponse(503, id));
      return true;
    }
    if (fault == 1) {
      connection.write(GatewayTestHarness.response(421, id, ""));
      return true;
    }
    runs.merge(id, 1, Integer::sum);
    switch (fault) {
      case 2 -> {
        connection.reset();
        return false;
      }
      case 3 -> {
        connection.write(GatewayTestHarness.okResponse("other", "whole"));
        return true;
      }
      case 4 -> {
        connection.write("HTTP/1.1 2x0 what\u0000\r\n:\r\n\r\n");
        return true;
      }
      case 5 -> {
        connection.write(GatewayTestHarness.response(200, id, "whole-" + id));
        return true;
      }
      case 6 -> {
        connection.write(GatewayTestHarness.response(503, id, ""));
        return true;
      }
      default -> {
        return respondToRoute(connection, received, id, fault);
      }
    }
  }

  private static boolean respondToRoute(
      RawConnection connection, Message received, String id, int fault) {
    if (received.startLine().contains("/stream/") || received.startLine().contains("/resume/")) {
      String lastEventId = received.header("Last-Event-Id");
      connection.write(GatewayTestHarness.streamHead(id, "p"));
      for (int i = lastEventId == null ? 0 : Integer.parseInt(lastEventId) + 1;
          i < EVENTS_PER_STREAM;
          i++) {
        if (fault == 7 && i == 2) {
          connection.write("e\r\nid: 2\nda").reset();
          return false;
        }
        connection.write(GatewayTestHarness.chunk(GatewayTestHarness.event(i)));
      }
      connection.write("0\r\n\r\n");
    } else if (fault == 7) {
      connection.write(GatewayTestHarness.okResponse(id, "whole-" + id).substring(0, 40)).reset();
      return false;
    } else if (fault == 8) {
      connection.write(
          GatewayTestHarness.response(
              200, id, "whole-" + id, "Elmsail-Postmark: p", "Connection: close"));
      return false;
    } else {
      connection.write(
          GatewayTestHarness.okResponse(id, "whole-" + id)
              + (fault == 9 ? GatewayTestHarness.okResponse(id, "extra") : ""));
    }
    return true;
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void randomFaultsBreakNoProtocolRule(long seed) throws Exception {
    try (GatewayTestHarness harness = new GatewayTestHarness()) {
      harness.listServers(harness.firstServer, harness.secondServer);
      serve(harness.firstServer, 2 * seed);
      serve(harness.secondServer, 2 * seed + 1);
      SplittableRandom random = new SplittableRandom(seed);
      String[] routes = {"safe", "unsafe", "once", "stream", "resume"};
      Map<String, Integer> served = new HashMap<>();
      RawConnection client = harness.connectClient();
      for (int i = 0; i < REQUESTS; i++) {
        String route = routes[random.nextInt(routes.length)];
        String id = route + i;
        client.write(GatewayTestHarness.requestText(route, id));
        boolean complete = checkResponse(client, route, id);
        served.merge(route + (complete ? "" : " truncated"), 1, Integer::sum);
        if (!complete) {
          client = harness.connectClient();
        }
      }
      assertThat(served.toString(), served.keySet().containsAll(List.of(routes)), is(true));
    }
  }

  /** Checks one response; returns whether the response was complete and the connection is open. */
  private boolean checkResponse(RawConnection client, String route, String id) {
    boolean retryable = route.equals("safe") || route.equals("resume");
    Message head = client.readHead();
    int status = head.status();
    int runCount = runs.getOrDefault(id, 0);
    assertThat(id, status, is(oneOf(200, 502, 503)));
    assertThat(id, runCount, is(lessThanOrEqualTo(retryable ? 2 : 1)));
    if (status == 503) {
      assertThat(id + " was rejected as not run", runCount, is(0));
    }
    String allEvents =
        GatewayTestHarness.event(0)
            + GatewayTestHarness.event(1)
            + GatewayTestHarness.event(2)
            + GatewayTestHarness.event(3);
    if (status == 200 && head.header("Transfer-Encoding") != null) {
      assertThat(head.header("Elmsail-Postmark"), is("p"));
      StringBuilder body = new StringBuilder();
      String chunk = client.readChunk();
      while (chunk != null && !chunk.isEmpty()) {
        body.append(chunk);
        chunk = client.readChunk();
      }
      if (chunk == null) {
        assertThat(allEvents, startsWith(body.toString().replaceAll("id: 2\nda$", "")));
        return false;
      }
      assertThat(id, body.toString(), is(allEvents));
      return true;
    }
    String body = client.readBytes(Integer.parseInt(head.header("Content-Length")));
    if (status == 200) {
      assertThat(head.header("Elmsail-Postmark"), is(oneOf("p", "stamp-" + id)));
      assertThat(body, containsString("whole-" + id));
    }
    return true;
  }
}
