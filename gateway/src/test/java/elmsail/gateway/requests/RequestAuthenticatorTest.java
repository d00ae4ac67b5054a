package elmsail.gateway.requests;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.not;

import elmsail.config.ClusterState;
import elmsail.config.Route;
import elmsail.config.RoutingConfig;
import elmsail.config.RoutingConfigReader;
import elmsail.config.ServerEntry;
import elmsail.config.Tenant;
import elmsail.gateway.http.Headers;
import elmsail.rpc.messages.ClusterView;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

class RequestAuthenticatorTest {
  private static final String ROUTES =
      """
      {"edition":1,"postal_lines":[{"name":"s"}],"routes":[
       {"name":"jobs","depot":"a.example","lane_prefix":"/j/","route_class":"sack",
        "postal_line":"s"},
       {"name":"open","depot":"a.example","lane_prefix":"/o/","route_class":"safe",
        "give_up_ms":1,"postal_line":"s","unstamped":true},
       {"name":"openJobs","depot":"b.example","lane_prefix":"/o/","route_class":"sack",
        "postal_line":"s","unstamped":true}]""";
  private static final RoutingConfig WITH_TENANTS =
      read(ROUTES + ",\"senders\":[{\"name\":\"t\",\"passes\":[\"k1\"],\"precedence\":2}]}");
  private static final Authentication UNKNOWN_KEY =
      new Authentication.Refused(Authentication.Reason.UNKNOWN_KEY);
  private static final Authentication NOT_CONFIRMED =
      new Authentication.Refused(Authentication.Reason.NOT_CONFIRMED);
  private static final Authentication OF_TENANT = new Authentication.OfTenant(new Tenant("t", 2));

  private final AtomicBoolean confirmed = new AtomicBoolean(true);

  private static RoutingConfig read(String config) {
    return RoutingConfigReader.read(config.getBytes(StandardCharsets.UTF_8));
  }

  private static Credentials bearer(String key) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.add(Headers.AUTHORIZATION, "Bearer " + key);
    return Credentials.of(headers);
  }

  private static Credentials noCredentials() {
    return Credentials.of(new DefaultHttpHeaders());
  }

  private static ClusterState stateOf(RoutingConfig config) {
    return new ClusterState() {
      @Override
      public RoutingConfig config() {
        return config;
      }

      @Override
      public List<ServerEntry> servers() {
        return List.of();
      }

      @Override
      public long configConfirmedAgeMs() {
        return 0;
      }

      @Override
      public long serverListAgeMs() {
        return 0;
      }

      @Override
      public ClusterView view() {
        return new ClusterView();
      }

      @Override
      public void addListener(Runnable listener) {}
    };
  }

  private RequestAuthenticator authenticator(RoutingConfig config) {
    return new RequestAuthenticator(stateOf(config), confirmed::get);
  }

  private Authentication authenticate(String route, Credentials credentials) {
    return authenticator(WITH_TENANTS).authenticate(WITH_TENANTS.routeByName(route), credentials);
  }

  @Test
  void closedRouteAdmitsKnownKeysOnly() {
    assertThat(authenticate("jobs", bearer("k1")), equalTo(OF_TENANT));
    assertThat(authenticate("jobs", bearer("k2")), equalTo(UNKNOWN_KEY));
    assertThat(authenticate("jobs", bearer("")), equalTo(UNKNOWN_KEY));
    assertThat(authenticate("jobs", noCredentials()), equalTo(UNKNOWN_KEY));
  }

  @Test
  void openRouteAdmitsAnyRequest() {
    assertThat(authenticate("open", bearer("k1")), equalTo(OF_TENANT));
    assertThat(authenticate("open", bearer("k2")), equalTo(Authentication.Anonymous.OPEN_ROUTE));
    assertThat(authenticate("open", noCredentials()), equalTo(Authentication.Anonymous.OPEN_ROUTE));
  }

  @Test
  void configurationWithoutTenantsIgnoresKeys() {
    RoutingConfig config = read(ROUTES + "}");
    Route route = config.routeByName("jobs");
    RequestAuthenticator authenticator = authenticator(config);
    confirmed.set(false);
    assertThat(
        authenticator.authenticate(route, bearer("k1")),
        equalTo(Authentication.Anonymous.NO_TENANTS));
    assertThat(
        authenticator.authenticateBatchCall("a.example", noCredentials()),
        equalTo(Authentication.Anonymous.NO_TENANTS));
  }

  @Test
  void batchCallNeedsAKeyUnlessABatchRouteOfItsHostIsOpen() {
    RequestAuthenticator authenticator = authenticator(WITH_TENANTS);
    assertThat(authenticator.authenticateBatchCall("a.example", bearer("k1")), equalTo(OF_TENANT));
    assertThat(
        authenticator.authenticateBatchCall("a.example", noCredentials()), equalTo(UNKNOWN_KEY));
    assertThat(
        authenticator.authenticateBatchCall("c.example", noCredentials()), equalTo(UNKNOWN_KEY));
    assertThat(
        authenticator.authenticateBatchCall("B.example:80", noCredentials()),
        equalTo(Authentication.Anonymous.OPEN_ROUTE));
    assertThat(authenticator.authenticateBatchCall("b.example", bearer("k1")), equalTo(OF_TENANT));
  }

  /** A key may have been revoked or added since the configuration was last confirmed. */
  @Test
  void keysAreNeitherAdmittedNorDeniedByAnUnconfirmedConfiguration() {
    confirmed.set(false);
    assertThat(authenticate("jobs", bearer("k1")), equalTo(NOT_CONFIRMED));
    assertThat(authenticate("jobs", bearer("k2")), equalTo(NOT_CONFIRMED));
    assertThat(authenticate("jobs", noCredentials()), equalTo(NOT_CONFIRMED));
    assertThat(authenticate("open", bearer("k1")), equalTo(Authentication.Anonymous.OPEN_ROUTE));
    assertThat(
        authenticator(WITH_TENANTS).authenticateBatchCall("a.example", bearer("k1")),
        equalTo(NOT_CONFIRMED));
  }

  @Test
  void keysAreNeitherAdmittedNorDeniedBeforeTheFirstConfiguration() {
    RequestAuthenticator authenticator = authenticator(null);
    Route route = WITH_TENANTS.routeByName("jobs");
    assertThat(authenticator.authenticate(route, bearer("k1")), equalTo(NOT_CONFIRMED));
    assertThat(
        authenticator.authenticateBatchCall("a.example", bearer("k1")), equalTo(NOT_CONFIRMED));
  }

  @Test
  void textFormsDoNotContainKeys() {
    assertThat(bearer("secret").toString(), not(containsString("secret")));
    assertThat(authenticate("jobs", bearer("secret")).toString(), not(containsString("secret")));
    assertThat(authenticate("jobs", bearer("k1")).toString(), not(containsString("k1")));
    HttpHeaders headers = new DefaultHttpHeaders().add(Headers.AUTHORIZATION, "Bearer secret");
    ReceivedRequest request = new ReceivedRequest("GET", "/x?k=secret", headers, new byte[0], 0);
    assertThat(request.toString(), equalTo("GET /x"));
    assertThat(OF_TENANT.tenantName(), equalTo(Optional.of("t")));
  }
}
