package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import elmsail.rpc.messages.UsageCount;
import elmsail.rpc.messages.UsageReport;
import elmsail.rpc.messages.UsageWindow;
import java.util.Map;
import org.junit.jupiter.api.Test;

class UsageTableTest {
  private static final long NOW = 100;

  private final UsageTable table = new UsageTable(4);

  private static UsageReport report(long instanceId, long window, String tenant, long requests) {
    UsageCount count = new UsageCount();
    count.tenant = tenant;
    count.requests = requests;
    UsageWindow counts = new UsageWindow();
    counts.number = window;
    counts.counts.add(count);
    UsageReport report = new UsageReport();
    report.instanceId = instanceId;
    report.windows.add(counts);
    return report;
  }

  @Test
  void totalsSumOverGatewayInstances() {
    table.onReport(report(1, NOW, "a", 3), NOW);
    table.onReport(report(2, NOW, "a", 4), NOW);
    table.onReport(report(2, NOW, "b", 1), NOW);
    table.onReport(report(2, NOW - 1, "a", 9), NOW);
    assertThat(table.totals(NOW), is(Map.of("a", 7L, "b", 1L)));
    assertThat(table.totals(NOW - 1), is(Map.of("a", 9L)));
    assertThat(table.totals(NOW - 2), is(Map.of()));
  }

  @Test
  void repeatedAndReorderedReportsDoNotLowerCounts() {
    table.onReport(report(1, NOW, "a", 5), NOW);
    table.onReport(report(1, NOW, "a", 3), NOW);
    table.onReport(report(1, NOW, "a", 5), NOW);
    assertThat(table.totals(NOW), is(Map.of("a", 5L)));
  }

  @Test
  void numberOfWindowsIsBounded() {
    table.onReport(report(1, NOW + 1, "a", 5), NOW);
    table.onReport(report(1, NOW - 4, "a", 5), NOW);
    table.onReport(report(1, Long.MIN_VALUE, "a", 5), NOW);
    assertThat(table.size(), is(0));
    for (long window = NOW; window < NOW + 50; window++) {
      table.onReport(report(1, window, "a", 1), window);
    }
    assertThat(table.size(), is(4));
  }
}
