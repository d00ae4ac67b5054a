package elmsail.storage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;

import elmsail.runtime.Counters;
import elmsail.runtime.PrometheusText;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards the names that dashboards and scripts use. */
class PinnedNamesTest {

  /** The exported metric families, each with its type. */
  private static List<String> exported(Counters counters) {
    return PrometheusText.format(counters)
        .lines()
        .filter(line -> line.startsWith("# TYPE "))
        .map(line -> line.substring("# TYPE ".length()))
        .toList();
  }

  @Test
  void exportedMetricNamesAreUnchanged() {
    Counters counters = new Counters();
    new StorageCounters(counters);
    assertThat(
        exported(counters),
        contains(
            "elmsail_storage_syncs counter",
            "elmsail_storage_bytes_written counter",
            "elmsail_storage_write_failures counter",
            "elmsail_storage_sync_ms histogram"));
  }
}
