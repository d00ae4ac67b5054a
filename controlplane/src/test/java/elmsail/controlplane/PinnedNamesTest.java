package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import elmsail.config.watch.PeerRole;
import elmsail.rpc.HandlerRegistry;
import elmsail.rpc.RpcClient;
import elmsail.runtime.ManualTimers;
import elmsail.runtime.ProcessMetrics;
import elmsail.runtime.PrometheusText;
import elmsail.runtime.SettingsFile;
import elmsail.runtime.http.HttpHandler;
import elmsail.runtime.http.SimpleHttpRequest;
import elmsail.runtime.http.SimpleHttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Names that dashboards, scripts, settings and clients outside this code base depend on. */
class PinnedNamesTest {

  private static final String SETTINGS =
      "{\"station\":\"n1\",\"serves\":[\"head_office\"],\"ip\":\"10.0.0.1\",\"zone\":\"a\","
          + "\"mail_slots\":{\"control\":\"10.0.0.1:8166\"},\"inner_ports\":[7720,7735],"
          + "\"carrier_api\":{\"address\":\"10.9.0.1:8169\"}}";

  private static final class UnansweredRpcClient implements RpcClient {
    @Override
    public <A> CompletableFuture<A> call(
        String address, Object request, Class<A> answer, long timeoutMs) {
      return new CompletableFuture<>();
    }
  }

  private static HttpHandler handlerReplyingWith(String name) {
    return call -> Replies.completed(Replies.json(200, name));
  }

  private static String body(SimpleHttpResponse reply) {
    return new String(reply.body(), StandardCharsets.UTF_8);
  }

  @ParameterizedTest
  @CsvSource({
    "POST, /Timetable.Replace, replace",
    "POST, /Timetable.Amend, amend",
    "GET, /Timetable.Read, read",
    "POST, /Retire.Begin/n1, retire",
    "GET, /Retire.Read/n1, retire"
  })
  void operatorCallsAreRoutedByMethodAndPath(String method, String path, String handler) {
    OperatorApi operatorApi =
        new OperatorApi(
            handlerReplyingWith("replace"),
            handlerReplyingWith("amend"),
            handlerReplyingWith("read"),
            handlerReplyingWith("retire"));
    SimpleHttpRequest call = new SimpleHttpRequest(method, path, Map.of(), Map.of(), new byte[0]);
    assertThat(body(operatorApi.handle(call).join()), is(handler));
    String other = method.equals("GET") ? "POST" : "GET";
    SimpleHttpRequest wrong = new SimpleHttpRequest(other, path, Map.of(), Map.of(), new byte[0]);
    assertThat(operatorApi.handle(wrong).join().status(), is(405));
  }

  @Test
  void errorRepliesAreJsonWithAnEscapedReason() {
    SimpleHttpResponse reply = Replies.error(409, "a \"reason\"");
    assertThat(body(reply), is("{\"why\":\"a \\\"reason\\\"\"}"));
    assertThat(reply.headers(), is(Map.of("content-type", "application/json")));
  }

  @Test
  void voterSetsRegisterKeysAndRolesKeepTheirNames() {
    assertThat(
        List.of(
            ControlPlaneVoters.VOTER_SET_NAME,
            StoreNode.VOTER_SET_NAME,
            ConfigChangeHandler.KEY,
            DecommissionList.KEY,
            StoreBootstrap.KEY,
            SingletonLease.KEY),
        contains("head", "shelf", "timetable", "retire", "shelf", "duty"));
    assertThat(
        Stream.of(PeerRole.values()).map(PeerRole::wireName).toList(),
        contains("gateway", "store", "controlplane"));
  }

  @Test
  void peerMessageKindsKeepTheirWireNames() {
    assertThat(
        Stream.of(PeerMessageKind.values()).map(PeerMessageKind::wireName).toList(),
        contains("decided", "retire", "stores-heard"));
  }

  @Test
  void decommissionStatesKeepTheirJsonNames() {
    assertThat(
        Stream.of(DecommissionState.values()).map(DecommissionState::jsonName).toList(),
        contains("in_service", "delivered"));
  }

  @Test
  void dutyMetricsKeepTheirNames() {
    assertThat(
        metricTypes(
                SETTINGS.replace(
                    "\"address\":\"10.9.0.1:8169\"}",
                    "\"address\":\"10.9.0.1:8169\",\"rounds\":[\"usage\"],\"round_per_s\":50},"
                        + "\"bounds\":{\"report_window_s\":5,\"usage_late_s\":10}"))
            .stream()
            .filter(line -> line.contains("_duty_") || line.contains("_usage_"))
            .toList(),
        contains(
            "# TYPE elmsail_control_duty_calls counter",
            "# TYPE elmsail_control_duty_calls_fenced counter",
            "# TYPE elmsail_control_duty_calls_rate_limited counter",
            "# TYPE elmsail_control_duty_calls_unclear counter",
            "# TYPE elmsail_control_usage_reports_received counter",
            "# TYPE elmsail_control_usage_windows_decided counter",
            "# TYPE elmsail_control_usage_windows_accepted counter",
            "# TYPE elmsail_control_usage_windows_skipped counter"));
  }

  @Test
  void metricsKeepTheirNames() {
    assertThat(
        metricTypes(SETTINGS),
        contains(
            "# TYPE elmsail_control_pulls_answered counter",
            "# TYPE elmsail_control_pulls_no_contact counter",
            "# TYPE elmsail_control_orders_acknowledged counter",
            "# TYPE elmsail_control_orders_refused counter",
            "# TYPE elmsail_control_orders_unclear counter",
            "# TYPE elmsail_control_lists_read counter",
            "# TYPE elmsail_control_lists_failed counter",
            "# TYPE elmsail_control_joins_directed counter",
            "# TYPE elmsail_control_lease_held gauge",
            "# TYPE elmsail_control_in_contact gauge",
            "# TYPE elmsail_control_store_voters_voting gauge",
            "# TYPE elmsail_control_head_voters_voting gauge"));
  }

  private static List<String> metricTypes(String settings) {
    ProcessMetrics metrics = ProcessMetrics.strict();
    NodeEnvironment environment =
        new NodeEnvironment(
            SettingsFile.parse(settings),
            new ManualTimers(),
            new UnansweredRpcClient(),
            new HandlerRegistry(),
            null,
            1,
            metrics);
    new ControlPlaneNode(environment, (address, path, limitMs) -> new CompletableFuture<>());
    return PrometheusText.format(metrics.counters())
        .lines()
        .filter(line -> line.startsWith("# TYPE elmsail_control_"))
        .toList();
  }
}
