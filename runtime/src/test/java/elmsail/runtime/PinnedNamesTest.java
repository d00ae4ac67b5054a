package elmsail.runtime;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import com.typesafe.config.ConfigRenderOptions;
import elmsail.runtime.http.HttpServer;
import elmsail.runtime.http.MetricsEndpoint;
import elmsail.runtime.http.NettyHttpClient;
import elmsail.runtime.http.SimpleHttpResponse;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Names that are known outside of the program: in dashboards, scripts, settings and clients. */
class PinnedNamesTest {

  private static final String SETTINGS =
      """
      {"station": "n1", "role": "gateway", "machine_class": "m", "serves": ["counter"],
       "ip": "10.0.0.1", "zone": "a", "region": "ra", "zones": {"b": "rb"},
       "mail_slots": {"front": "10.0.0.1:8161", "ready": "10.0.0.1:8167",
         "control": "10.0.0.1:8166"},
       "inner_ports": [7720, 7735], "seed_stations": ["10.0.0.2:8166"],
       "first_start": true, "counted": false,
       "limits": {"cpu_share": 0.7, "memory_mb": 430, "fds": 4100, "link_mbps": 999.0,
         "disk_mb": 65},
       "data_dir": "/data", "clauses": ["base"], "bear_losses": {"machines": 2},
       "bounds": {"in_touch_ms": 1, "ack_ms": 2, "catch_up_s": 3, "drain_ms": 4, "grace_s": 5,
         "lost_slack_ms": 6, "in_force_ms": 7, "pass_ms": 8, "status_s": 9, "cancel_ms": 10,
         "settle_ms": 11, "quota_over": 0.3, "reuse_after_s": 13,
         "revoked_everywhere": true, "revoke_ms": 5001, "report_window_s": 14,
         "usage_late_s": 15, "lease_ms": 16},
       "carrier_api": {"address": "10.9.0.1:8169", "per_s": 40.0, "lag_ms": 800,
                       "rounds": ["usage", "fleet"], "round_per_s": 50.0}}
      """;

  /** Null where they cannot be used. */
  private static Settings settings(String json) {
    try {
      return SettingsFile.parse(json);
    } catch (ElmsailException e) {
      return null;
    }
  }

  /** Each key of the settings above is read: without it something else comes out. */
  @Test
  void everySettingIsReadUnderItsKey() {
    Config all = ConfigFactory.parseString(SETTINGS);
    Settings whole = SettingsFile.parse(SETTINGS);
    Set<String> keys = new TreeSet<>();
    all.entrySet().forEach(entry -> keys.add(entry.getKey()));
    assertThat(keys.size(), is(46));
    for (String key : keys) {
      String without = all.withoutPath(key).root().render(ConfigRenderOptions.concise());
      assertThat(key, settings(without), is(not(equalTo(whole))));
    }
  }

  @Test
  void settingsOfThatNameAreReadWhereTheyBelong() {
    Settings settings = SettingsFile.parse(SETTINGS);
    assertThat(
        settings,
        is(
            new Settings(
                "n1",
                "gateway",
                "m",
                Set.of("counter"),
                "10.0.0.1",
                "a",
                "ra",
                Map.of("b", "rb"),
                Map.of(
                    "front", "10.0.0.1:8161",
                    "ready", "10.0.0.1:8167",
                    "control", "10.0.0.1:8166"),
                7_720,
                7_735,
                List.of("10.0.0.2:8166"),
                true,
                false,
                new Settings.Limits(0.7, 430, 4_100, 999, 65),
                "/data",
                Set.of("base"),
                2,
                new Settings.Bounds(
                    1, 2, 3_000, 4, 5_000, 6, 7, 8, 9_000, 10, 11, 0.3, 13_000, 5_001, 14_000,
                    15_000, 16),
                new Settings.Platform("10.9.0.1:8169", 40, 800, Set.of("usage", "fleet"), 50))));
  }

  @Test
  void variablesAndPaths() {
    assertThat(SettingsFile.ENVIRONMENT_VARIABLE, is("ELMSAIL_SETTINGS"));
    assertThat(MetricsEndpoint.PATH, is("/metrics"));
    assertThat(PrometheusText.CONTENT_TYPE, is("text/plain; version=0.0.4; charset=utf-8"));
  }

  /** Of a call whose handler fails: the code of the failure, for whoever reads the answer. */
  @Test
  void headerOfAFailedCall() throws Exception {
    NettyEventLoop loop = new NettyEventLoop();
    try {
      HttpServer server =
          HttpServer.listen(
                  loop,
                  "127.0.0.1:0",
                  call ->
                      CompletableFuture.failedFuture(
                          new ElmsailException(ErrorCode.NO_QUORUM, "nobody")),
                  1)
              .join();
      SimpleHttpResponse reply =
          new NettyHttpClient(loop).get(server.address(), "/", 20_000).join();
      assertThat(reply.status(), is(503));
      assertThat(reply.headers().get("elmsail-fault"), is("NOT_REACHED"));
    } finally {
      loop.shutdown().get();
    }
  }

  @Test
  void metrics() {
    Counters counters = new Counters();
    Invariants.counting(counters);
    LoopDelay.start(new ManualTimers(), counters);
    List<String> lines =
        PrometheusText.format(counters).lines().filter(line -> !line.contains("_bucket")).toList();
    assertThat(
        lines,
        contains(
            "# TYPE elmsail_invariant_violations counter",
            "elmsail_invariant_violations{name=\"ACCEPTED_BALLOT_PROMISED\"} 0",
            "elmsail_invariant_violations{name=\"DECIDED_JOB_KEEPS_ITS_RESULTS\"} 0",
            "elmsail_invariant_violations{name=\"RESULT_TEXT_IS_WHOLE\"} 0",
            "elmsail_invariant_violations{name=\"FITTING_JOB_IS_NOT_REFUSED_AT_ONCE\"} 0",
            "elmsail_invariant_violations{name=\"HELD_BYTES_BELONG_TO_JOBS\"} 0",
            "# TYPE elmsail_loop_delay_ms histogram",
            "elmsail_loop_delay_ms_sum 0",
            "elmsail_loop_delay_ms_count 0"));
  }
}
