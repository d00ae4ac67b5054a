package elmsail.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import elmsail.config.Route;
import elmsail.config.Tenant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A request is counted once for its tenant, at the first byte of a server's successful response.
 */
class UsageCountingTest extends GatewaySocketTest {
  private static final String KEY = "irth5mgjy5rcpihhacru";
  private static final String KNOWN_KEY = "Authorization: Bearer " + KEY;

  private final List<String> started = new ArrayList<>();

  @BeforeEach
  void recordStartedRequests() throws Exception {
    harness.clusterState.tenantsByKey = Map.of(KEY, new Tenant("kaje80", 0));
    harness.clusterState.addOpenRoute("open", Route.Kind.SAFE, 2, false);
    harness.onLoop(
        () -> {
          harness.gateway.setUsageListener(started::add);
          return null;
        });
  }

  private List<String> started() throws Exception {
    return harness.onLoop(() -> List.copyOf(started));
  }

  private static String successResponse(String id, String body) {
    return "HTTP/1.1 200 OK\r\nElmsail-Request-Id: "
        + id
        + "\r\nElmsail-Postmark: p\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  @Test
  void successfulRequestIsCountedOnce() throws Exception {
    RawConnection client = harness.request("safe", "a1", KNOWN_KEY);
    RawConnection server = harness.firstServer.accept();
    server.readMessage();
    assertThat("not counted before the response starts", started(), empty());
    server.write(successResponse("a1", "done"));
    assertThat(client.readMessage().status(), is(200));
    assertThat(started(), contains("kaje80"));
  }

  @Test
  void streamIsCountedAtItsFirstByte() throws Exception {
    RawConnection client = harness.request("stream", "a1", KNOWN_KEY);
    RawConnection server = harness.firstServer.accept();
    server.readMessage();
    server.write(successResponse("a1", "data").replace("Length: 4", "Length: 8"));
    client.readLine();
    assertThat(started(), contains("kaje80"));
    server.write("more");
    while (!client.readLine().isEmpty()) {}
    assertThat(started(), contains("kaje80"));
  }

  @Test
  void requestWithServerErrorIsNotCounted() throws Exception {
    RawConnection client = harness.request("unsafe", "a1", KNOWN_KEY);
    RawConnection server = harness.firstServer.accept();
    server.readMessage();
    server.write(successResponse("a1", "oops").replace("200 OK", "500 Internal Server Error"));
    assertThat(client.readMessage().status(), is(500));
    assertThat(started(), empty());
  }

  @Test
  void requestWithoutATenantIsNotCounted() throws Exception {
    RawConnection client = harness.request("open", "a2");
    RawConnection server = harness.firstServer.accept();
    server.readMessage();
    server.write(successResponse("a2", "done"));
    assertThat(client.readMessage().status(), is(200));
    assertThat(started(), empty());
  }
}
