package elmsail.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import elmsail.config.Route;
import elmsail.config.Tenant;
import elmsail.gateway.RawConnection.Message;
import elmsail.gateway.http.RequestCounters.Event;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A key that is revoked while its request is in flight must not admit a further attempt. */
class KeyRevocationTest extends GatewaySocketTest {
  private static final String KEY = "irth5mgjy5rcpihhacru";
  private static final String AUTHORIZATION = "Authorization: Bearer " + KEY;
  private static final Tenant TENANT = new Tenant("kaje80", 0);

  @BeforeEach
  void configureKeyAndServers() throws Exception {
    harness.clusterState.tenantsByKey = Map.of(KEY, TENANT);
    harness.listServers(harness.firstServer, harness.secondServer);
  }

  /** Revokes the key; its tenant still has another one. */
  private void revokeKey() {
    harness.clusterState.tenantsByKey = Map.of("ddedev3nax7u27gxprym", TENANT);
  }

  private void assertNoFurtherAttempt() {
    assertThat(harness.secondServer.hasNoConnection(), is(true));
    assertThat(harness.gateway.counters().total(Event.KEY_REVOKED), is(1L));
  }

  @ParameterizedTest
  @ValueSource(strings = {"safe", "unsafe", "stream", "resume"})
  void requestThatHasNotRunIsRefused(String route) {
    RawConnection client = harness.request(route, "a1", AUTHORIZATION);
    RawConnection server = harness.firstServer.acceptRequest();
    revokeKey();
    server.write(GatewayTestHarness.notRunResponse(503, "a1"));
    Message response = client.readMessage();
    assertThat(response.status(), is(401));
    assertThat(response.header("Elmsail-Request-Id"), is("a1"));
    assertThat(response.header("WWW-Authenticate"), is("Bearer"));
    assertNoFurtherAttempt();
  }

  /** Guards against a response that reports a request as not run although it may have run. */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "resume"})
  void requestThatMayHaveRunIsNotRetried(String route) {
    RawConnection client = harness.request(route, "a1", AUTHORIZATION);
    RawConnection server = harness.firstServer.acceptRequest();
    revokeKey();
    server.reset();
    assertThat(client.readMessage().status(), is(502));
    assertNoFurtherAttempt();
  }

  @Test
  void streamIsNotResumedAtAnotherServer() {
    RawConnection client = harness.request("resume", "a1", AUTHORIZATION);
    RawConnection server = harness.firstServer.acceptRequest();
    server
        .write(GatewayTestHarness.streamHead("a1", "p"))
        .write(GatewayTestHarness.chunk(GatewayTestHarness.event(0)));
    client.readHead();
    client.readChunk();
    revokeKey();
    server.reset();
    assertThat(client.readChunk(), is(nullValue()));
    assertNoFurtherAttempt();
  }

  @Test
  void errorIsRelayedAndNotRetried() {
    RawConnection client = harness.request("safe", "a1", AUTHORIZATION);
    RawConnection server = harness.firstServer.acceptRequest();
    revokeKey();
    server.write(GatewayTestHarness.response(500, "a1", "why", "Elmsail-Postmark: p"));
    Message response = client.readMessage();
    assertThat(response.status(), is(500));
    assertThat(response.body(), is("why"));
    assertThat(harness.secondServer.hasNoConnection(), is(true));
  }

  @Test
  void firstErrorIsRelayedWhenTheKeyIsRevokedDuringItsRetry() throws Exception {
    harness.clusterState.addRoute("thrice", Route.Kind.SAFE, 3, false);
    try (RawConnection.FakeServer third = new RawConnection.FakeServer()) {
      harness.listServers(harness.firstServer, harness.secondServer);
      RawConnection client = harness.request("thrice", "a1", AUTHORIZATION);
      RawConnection server = harness.firstServer.acceptRequest();
      server.write(GatewayTestHarness.response(500, "a1", "why", "Elmsail-Postmark: p"));
      RawConnection other = harness.secondServer.acceptRequest();
      harness.listServers(harness.firstServer, harness.secondServer, third);
      revokeKey();
      other.write(GatewayTestHarness.notRunResponse(503, "a1"));
      Message response = client.readMessage();
      assertThat(response.status(), is(500));
      assertThat(response.body(), is("why"));
      assertThat(third.hasNoConnection(), is(true));
    }
  }

  /**
   * An unresponsive server may still respond, while the key admits no attempt at another server.
   */
  @Test
  void requestIsNotMovedFromAnUnresponsiveServer() {
    RawConnection client = harness.request("resume", "a1", AUTHORIZATION);
    RawConnection server = harness.firstServer.acceptRequest();
    revokeKey();
    for (int i = 0; i < 6; i++) {
      harness.timers.advance(210);
    }
    server
        .write(GatewayTestHarness.streamHead("a1", "p"))
        .write(GatewayTestHarness.chunk(GatewayTestHarness.event(0)))
        .write("0\r\n\r\n");
    assertThat(client.readMessage().body(), is(GatewayTestHarness.event(0)));
    assertThat(harness.secondServer.hasNoConnection(), is(true));
  }

  /** After a key is moved to another tenant, further attempts are made for that tenant. */
  @Test
  void furtherAttemptCarriesTheCurrentTenantOfTheKey() {
    RawConnection client = harness.request("safe", "a1", AUTHORIZATION);
    RawConnection server = harness.firstServer.accept();
    assertThat(server.readMessage().header("Elmsail-Sender"), is("kaje80"));
    harness.clusterState.tenantsByKey = Map.of(KEY, new Tenant("vopu11", 0));
    server.write(GatewayTestHarness.notRunResponse(503, "a1"));
    RawConnection other = harness.secondServer.accept();
    Message received = other.readMessage();
    assertThat(received.header("Elmsail-Sender"), is("vopu11"));
    assertThat(received.header("Authorization"), is(nullValue()));
    other.write(GatewayTestHarness.okResponse("a1", "x"));
    assertThat(client.readMessage().status(), is(200));
  }

  /**
   * Guards against a key that leaks to a server when the configuration changes during a request.
   */
  @Test
  void keyIsNotForwardedAfterTheConfigurationLosesItsTenants() {
    harness.request("safe", "a1", AUTHORIZATION);
    RawConnection server = harness.firstServer.acceptRequest();
    harness.clusterState.tenantsByKey = null;
    server.write(GatewayTestHarness.notRunResponse(503, "a1"));
    Message received = harness.secondServer.accept().readMessage();
    assertThat(received.header("Authorization"), is(nullValue()));
    assertThat(received.header("Elmsail-Sender"), is(nullValue()));
  }

  @Test
  void keyIsNotForwardedAfterTheConfigurationGainsTenants() {
    harness.clusterState.tenantsByKey = null;
    harness.request("safe", "a1", AUTHORIZATION);
    RawConnection server = harness.firstServer.acceptRequest();
    harness.clusterState.tenantsByKey = Map.of(KEY, TENANT);
    server.write(GatewayTestHarness.notRunResponse(503, "a1"));
    Message received = harness.secondServer.accept().readMessage();
    assertThat(received.header("Authorization"), is(nullValue()));
    assertThat(received.header("Elmsail-Sender"), is("kaje80"));
  }

  @Test
  void revocationIsCountedInTheMetrics() {
    requestThatHasNotRunIsRefused("safe");
    try (RawConnection connection = RawConnection.connect(harness.gateway.readinessAddress())) {
      String metrics =
          connection.write("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").readMessage().body();
      assertThat(metrics, containsString("elmsail_requests_key_revoked 1\n"));
      assertThat(metrics.contains(KEY), is(false));
    }
  }
}
