package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import elmsail.config.RoutingConfig;
import elmsail.config.RoutingConfigReader;
import elmsail.config.Tenant;
import elmsail.runtime.http.SimpleHttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A configuration in which two tenants share a key must never be acknowledged, whether it is sent
 * as a replacement or results from an amendment. The gateways could not tell the two tenants apart.
 */
class SharedKeyRejectionTest {
  private static final String REPLACE = "/Timetable.Replace";
  private static final String AMEND = "/Timetable.Amend";
  private static final String TWO_TENANTS = tenants(tenant("t1", "k1", "k2"), tenant("t2", "k3"));

  private final SimulatedCluster cluster = new SimulatedCluster(3, 3);

  @BeforeEach
  void start() {
    for (int i = 1; i <= 3; i++) {
      cluster.startControlPlane("n" + i, true);
    }
    cluster.timers.advance(2_000);
    assertThat(status(REPLACE, 0, configWith(1, TWO_TENANTS)), is(200));
  }

  private static String tenant(String name, String... keys) {
    return "{\"name\":\""
        + name
        + "\",\"passes\":["
        + (keys.length == 0 ? "" : "\"" + String.join("\",\"", keys) + "\"")
        + "]}";
  }

  private static String tenants(String... tenants) {
    return "[" + String.join(",", tenants) + "]";
  }

  private static String configWith(long version, String tenants) {
    String config = SimulatedCluster.config(version);
    return config.substring(0, config.length() - 1) + ",\"senders\":" + tenants + "}";
  }

  private static String amendment(long version, String added, String removed) {
    return "{\"edition\":"
        + version
        + ",\"deliver\":{\"senders\":"
        + added
        + "},\"withdraw\":{\"senders\":"
        + removed
        + "}}";
  }

  private SimpleHttpResponse send(String path, long basedOn, String body) {
    CompletableFuture<SimpleHttpResponse> reply =
        cluster.call("n2", "POST", path, String.valueOf(basedOn), body);
    cluster.awaitWithin(1_000, reply::isDone);
    return reply.join();
  }

  private int status(String path, long basedOn, String body) {
    return send(path, basedOn, body).status();
  }

  private RoutingConfig currentConfig() {
    return RoutingConfigReader.read(cluster.read("n1").getBytes(StandardCharsets.UTF_8));
  }

  private Optional<String> tenantOf(String key) {
    return currentConfig().tenantByKey(key).map(Tenant::name);
  }

  private void assertRejected(String path, String body) {
    String before = cluster.read("n3");
    assertThat(body, status(path, 1, body), is(400));
    cluster.timers.advance(1_000);
    assertThat(body, cluster.read("n3"), equalTo(before));
  }

  @Test
  void replacementWithASharedKeyIsRejected() {
    assertRejected(REPLACE, configWith(2, tenants(tenant("t1", "k1"), tenant("t2", "k1"))));
    assertRejected(
        REPLACE, configWith(2, tenants(tenant("t1", "k1", "k9"), tenant("t2", "k8", "k9"))));
  }

  @Test
  void rejectionNamesTheTenantAndNotTheKey() {
    SimpleHttpResponse response =
        send(REPLACE, 1, configWith(2, tenants(tenant("t1", "k1"), tenant("t2", "k1"))));
    assertThat(
        new String(response.body(), StandardCharsets.UTF_8),
        allOf(containsString("t1"), not(containsString("k1"))));
  }

  @Test
  void amendmentThatGivesATenantAnotherTenantsKeyIsRejected() {
    assertRejected(AMEND, amendment(2, tenants(tenant("t2", "k3", "k1")), "[]"));
    assertRejected(AMEND, amendment(2, tenants(tenant("t3", "k2")), "[]"));
    assertRejected(AMEND, amendment(2, tenants(tenant("t3", "k9"), tenant("t4", "k9")), "[]"));
  }

  @Test
  void amendmentReplacesATenantByName() {
    assertThat(status(AMEND, 1, amendment(2, tenants(tenant("t1", "k4")), "[]")), is(200));
    assertThat(tenantOf("k4"), is(Optional.of("t1")));
    assertThat(tenantOf("k1"), is(Optional.empty()));
    assertThat(tenantOf("k2"), is(Optional.empty()));
    assertThat(tenantOf("k3"), is(Optional.of("t2")));
  }

  @Test
  void amendmentRemovesATenantWithItsKeys() {
    assertThat(status(AMEND, 1, amendment(2, "[]", "[\"t1\"]")), is(200));
    assertThat(tenantOf("k1"), is(Optional.empty()));
    assertThat(tenantOf("k3"), is(Optional.of("t2")));
    assertThat(status(AMEND, 2, amendment(3, "[]", "[\"t2\"]")), is(200));
    assertThat(
        "keys are required although no tenant has one", currentConfig().requiresKeys(), is(true));
  }

  @Test
  void oneAmendmentMayMoveAKeyToAnotherTenant() {
    assertThat(
        status(AMEND, 1, amendment(2, tenants(tenant("t1", "k2"), tenant("t2", "k1", "k3")), "[]")),
        is(200));
    assertThat(tenantOf("k1"), is(Optional.of("t2")));
    assertThat(status(AMEND, 2, amendment(3, tenants(tenant("t5", "k2")), "[\"t1\"]")), is(200));
    assertThat(tenantOf("k2"), is(Optional.of("t5")));
  }

  @Test
  void amendmentOfRoutesKeepsTenants() {
    String routes =
        "{\"edition\":2,\"deliver\":{\"routes\":[{\"name\":\"new\",\"depot\":\"a.example\","
            + "\"lane_prefix\":\"/b/\",\"route_class\":\"safe\",\"give_up_ms\":1,"
            + "\"postal_line\":\"p\"}]}}";
    assertThat(status(AMEND, 1, routes), is(200));
    assertThat(tenantOf("k1"), is(Optional.of("t1")));
    assertThat(tenantOf("k3"), is(Optional.of("t2")));
  }

  @Test
  void amendmentOfAnUnknownTenantOrOfOneTenantTwiceIsRejected() {
    assertRejected(AMEND, amendment(2, "[]", "[\"t9\"]"));
    assertRejected(AMEND, amendment(2, tenants(tenant("t1", "k1")), "[\"t1\"]"));
    assertRejected(AMEND, amendment(2, tenants(tenant("t3", "k8"), tenant("t3", "k9")), "[]"));
  }
}
