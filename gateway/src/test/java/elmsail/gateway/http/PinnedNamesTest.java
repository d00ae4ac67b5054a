package elmsail.gateway.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;

import elmsail.runtime.Counters;
import elmsail.runtime.PrometheusText;
import java.lang.reflect.Field;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Pins names that dashboards, scripts and clients use, so that a rename in the code fails here. */
class PinnedNamesTest {

  /** The exported metric families, each with its type. */
  private static List<String> exportedFamilies(Counters counters) {
    return PrometheusText.format(counters)
        .lines()
        .filter(line -> line.startsWith("# TYPE "))
        .map(line -> line.substring("# TYPE ".length()))
        .toList();
  }

  @Test
  void metricNamesAreUnchanged() {
    Counters counters = new Counters();
    new RequestCounters(counters);
    assertThat(
        exportedFamilies(counters),
        contains(
            "elmsail_requests_served counter",
            "elmsail_requests_refused_no_configuration counter",
            "elmsail_requests_refused_no_server counter",
            "elmsail_requests_refused_not_run counter",
            "elmsail_requests_refused_full counter",
            "elmsail_requests_refused_ending counter",
            "elmsail_requests_no_route counter",
            "elmsail_requests_bad_request counter",
            "elmsail_requests_too_large counter",
            "elmsail_requests_client_slow counter",
            "elmsail_requests_client_left counter",
            "elmsail_requests_bad_gateway counter",
            "elmsail_requests_timed_out counter",
            "elmsail_requests_broken_off counter",
            "elmsail_requests_resumed counter",
            "elmsail_requests_server_errored counter",
            "elmsail_requests_retried_after_error counter",
            "elmsail_requests_probed counter",
            "elmsail_requests_gone_dark counter",
            "elmsail_requests_lot_call counter",
            "elmsail_requests_try counter",
            "elmsail_requests_try_unsent counter",
            "elmsail_requests_try_not_run counter",
            "elmsail_requests_try_sent_failed counter",
            "elmsail_requests_try_answered counter",
            "elmsail_requests_connected counter",
            "elmsail_requests_connect_failed counter",
            "elmsail_requests_closed_by_server counter",
            "elmsail_requests_foreign_answer counter",
            "elmsail_requests_unreadable_answer counter",
            "elmsail_requests_item counter",
            "elmsail_requests_fault counter",
            "elmsail_requests_refused_key counter",
            "elmsail_requests_refused_not_confirmed counter",
            "elmsail_requests_key_revoked counter"));
  }

  /** Compares the values of the constants in the order of their declaration. */
  @Test
  void headerNamesAreUnchanged() throws IllegalAccessException {
    List<String> names = new ArrayList<>();
    for (Field field : Headers.class.getFields()) {
      names.add((String) field.get(null));
    }
    assertThat(
        names,
        contains(
            "Elmsail-Request-Id",
            "Elmsail-Deadline-Ms",
            "Elmsail-Expect-Server",
            "Elmsail-Postmark",
            "Elmsail-Not-Run",
            "Elmsail-Server-Load",
            "Elmsail-Prompt-Prefix",
            "Elmsail-Tokens",
            "Elmsail-Wait-Ms",
            "Last-Event-Id",
            "Priority",
            "Retry-After",
            "text/event-stream",
            "Elmsail-Sender",
            "Authorization",
            "WWW-Authenticate"));
  }
}
