package elmsail.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import elmsail.batch.BatchService.Reply;
import elmsail.batch.TenantName;
import elmsail.config.Route;
import elmsail.config.Tenant;
import elmsail.gateway.RawConnection.Message;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Authentication of batch calls over HTTP if the configuration has tenants. */
class BatchCallKeyTest extends GatewaySocketTest {
  private static final String KEY = "irth5mgjy5rcpihhacru";
  private static final String SECOND_KEY = "q2xk4w7nd5fbpz3mtr6h";
  private static final TenantName TENANT = new TenantName("kaje80");

  @BeforeEach
  void requireKeys() {
    Tenant tenant = new Tenant("kaje80", 0);
    harness.clusterState.tenantsByKey = Map.of(KEY, tenant, SECOND_KEY, tenant);
    harness.batchCalls.reply = new Reply(200, "{}".getBytes(StandardCharsets.US_ASCII), 0);
  }

  private Message call(String methodAndPath, String headers) {
    return harness
        .connectClient()
        .write(
            methodAndPath
                + " HTTP/1.1\r\nHost: "
                + FakeClusterState.HOST
                + "\r\nElmsail-Request-Id: L1\r\n"
                + headers
                + "Content-Length: 4\r\n\r\nbody")
        .readMessage();
  }

  private static String bearer(String key) {
    return "Authorization: Bearer " + key + "\r\n";
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"POST /sack/x", "GET /lots/L7?after=12", "DELETE /lots/L7", "GET /items/L7?id=e5"})
  void batchCallIsMadeForTheTenantOfTheKey(String line) {
    for (String key : new String[] {KEY, SECOND_KEY}) {
      harness.batchCalls.lastTenant = TenantName.NONE;
      assertThat(call(line, bearer(key) + "Elmsail-Sender: vopu11\r\n").status(), is(200));
      assertThat(harness.batchCalls.lastTenant, is(TENANT));
    }
  }

  /** Jobs must not be submitted, read or cancelled without a known key. */
  @ParameterizedTest
  @ValueSource(
      strings = {"POST /sack/x", "GET /lots/L7?after=12", "DELETE /lots/L7", "GET /items/L7?id=e5"})
  void batchCallWithoutAKnownKeyIsRefused(String line) {
    for (String headers : new String[] {"", bearer("x"), "Elmsail-Sender: kaje80\r\n"}) {
      Message response = call(line, headers);
      assertThat(response.status(), is(401));
      assertThat(response.header("WWW-Authenticate"), is("Bearer"));
      assertThat(harness.batchCalls.lastCall, is(""));
    }
  }

  /** The revocation of a key ends no job: later calls may use another key of the tenant. */
  @Test
  void otherKeyOfTheTenantIsAcceptedAfterARevocation() {
    harness.clusterState.tenantsByKey = Map.of(SECOND_KEY, new Tenant("kaje80", 0));
    assertThat(call("GET /lots/L7", bearer(KEY)).status(), is(401));
    assertThat(call("GET /lots/L7", bearer(SECOND_KEY)).status(), is(200));
    assertThat(harness.batchCalls.lastTenant, is(TENANT));
  }

  @Test
  void openBatchRouteNeedsNoKey() {
    harness.clusterState.addOpenRoute("openjobs", Route.Kind.BATCH, 2, false);
    assertThat(call("POST /openjobs/x", "").status(), is(200));
    assertThat(harness.batchCalls.lastTenant, is(TenantName.NONE));
    assertThat(call("POST /sack/x", "").status(), is(401));
    assertThat(call("GET /lots/L7", "").status(), is(200));
    assertThat(harness.batchCalls.lastTenant, is(TenantName.NONE));
    assertThat(call("GET /lots/L7", bearer(KEY)).status(), is(200));
    assertThat(harness.batchCalls.lastTenant, is(TENANT));
  }

  @Test
  void configurationWithoutTenantsIgnoresKeys() {
    harness.clusterState.tenantsByKey = null;
    assertThat(call("GET /lots/L7", bearer(KEY)).status(), is(200));
    assertThat(harness.batchCalls.lastTenant, is(TenantName.NONE));
  }

  @Test
  void unauthorizedReplyOfTheBatchServiceCarriesAChallenge() {
    harness.batchCalls.reply = new Reply(401, new byte[0], 0);
    Message response = call("POST /sack/x", bearer(KEY));
    assertThat(response.status(), is(401));
    assertThat(response.header("WWW-Authenticate"), is("Bearer"));
  }
}
