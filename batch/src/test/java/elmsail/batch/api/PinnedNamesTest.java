package elmsail.batch.api;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import elmsail.batch.client.BatchCounters;
import elmsail.batch.messages.JobDescription;
import elmsail.batch.messages.JobRecord;
import elmsail.batch.store.JobStoreService;
import elmsail.runtime.Counters;
import elmsail.runtime.ManualTimers;
import elmsail.runtime.ProcessMetrics;
import elmsail.runtime.PrometheusText;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Pins the metric names and the JSON that dashboards, scripts and clients depend on. */
class PinnedNamesTest {

  /** The exported metric families, each as its name and type. */
  private static List<String> exported(Counters counters) {
    return PrometheusText.format(counters)
        .lines()
        .filter(line -> line.startsWith("# TYPE "))
        .map(line -> line.substring("# TYPE ".length()))
        .toList();
  }

  @Test
  void metricNamesAndTypesArePinned() {
    Counters gatewayCounters = new Counters();
    new BatchCounters(gatewayCounters);
    assertThat(
        exported(gatewayCounters),
        contains(
            "elmsail_batch_submit_accepted counter",
            "elmsail_batch_submit_refused counter",
            "elmsail_batch_submit_full counter",
            "elmsail_batch_submit_full_by_pending counter"));
    ProcessMetrics storeMetrics = ProcessMetrics.strict();
    new JobStoreService(new ManualTimers(), () -> true, key -> {}, 1, storeMetrics);
    assertThat(
        exported(storeMetrics.counters()).stream()
            .filter(name -> name.contains("_store_"))
            .toList(),
        contains(
            "elmsail_store_batch_messages_answered counter",
            "elmsail_store_batch_messages_not_seated counter",
            "elmsail_store_batch_messages_garbled counter",
            "elmsail_store_batch_jobs_kept gauge",
            "elmsail_store_batch_absences_kept gauge"));
  }

  @Test
  void resultPageJsonIsPinned() {
    List<JobRecord.Result> results =
        List.of(new JobRecord.Result(1, true, 1, 3), new JobRecord.Result(0, false, 1, 0));
    JobDescription description =
        new JobDescription(
            "r",
            "h",
            1,
            1,
            1,
            "b",
            List.of(
                new JobRecord.Item("a", 1),
                new JobRecord.Item("b", 1),
                new JobRecord.Item("c", 1)));
    JobRecord record = new JobRecord(2, description, results, false, "g", 1, 0, List.of());
    byte[][] texts = {"t\"x".getBytes(StandardCharsets.UTF_8), {}};
    assertThat(
        new String(ResultPage.toJson(record, 0, results, texts), StandardCharsets.UTF_8),
        is(
            "{\"total\":3,\"next_token\":2,\"deliveries\":["
                + "{\"id\":\"b\",\"state\":\"delivered\",\"message\":\"t\\\"x\"},"
                + "{\"id\":\"a\",\"state\":\"undeliverable\",\"message\":\"\"}]}"));
  }
}
