package elmsail.rpc;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;

import elmsail.runtime.Counters;
import elmsail.runtime.PrometheusText;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Names that are known outside of the program: in dashboards, scripts, settings and clients. */
class PinnedNamesTest {

  /** The families as they are exported, each with its type. */
  private static List<String> exported(Counters counters) {
    return PrometheusText.format(counters)
        .lines()
        .filter(line -> line.startsWith("# TYPE "))
        .map(line -> line.substring("# TYPE ".length()))
        .toList();
  }

  @Test
  void metrics() {
    Counters counters = new Counters();
    new RpcCounters().registerWith(counters);
    assertThat(
        exported(counters),
        contains(
            "elmsail_rpc_calls counter",
            "elmsail_rpc_answers counter",
            "elmsail_rpc_failures counter",
            "elmsail_rpc_unsent counter",
            "elmsail_rpc_broken counter",
            "elmsail_rpc_silent counter",
            "elmsail_rpc_full counter",
            "elmsail_rpc_late_answers counter",
            "elmsail_rpc_unheard_answers counter",
            "elmsail_rpc_garbled_connections counter",
            "elmsail_rpc_misdirected_connections counter",
            "elmsail_rpc_unsupported_versions counter",
            "elmsail_rpc_unexpected_answer_types counter",
            "elmsail_rpc_new_instances counter",
            "elmsail_rpc_silent_connections counter",
            "elmsail_rpc_requests_received counter",
            "elmsail_rpc_connections_made counter",
            "elmsail_rpc_connections_refused counter",
            "elmsail_rpc_pings counter",
            "elmsail_rpc_bytes_received counter",
            "elmsail_rpc_bytes_sent counter"));
  }
}
