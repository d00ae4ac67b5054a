package elmsail.gateway.usage;

import elmsail.rpc.messages.UsageCount;
import elmsail.rpc.messages.UsageReport;
import elmsail.rpc.messages.UsageWindow;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * What one control-plane node has acknowledged of a gateway's counts, and the reports that make up
 * for the rest. Pure; runs on the event loop.
 */
final class ReportedCounts {
  private final Map<Long, Map<String, Long>> acknowledged = new HashMap<>();
  private long processId;

  /** A report of all counts that the node has not acknowledged as they are; it may be empty. */
  UsageReport newReport(long instanceId, Map<Long, Map<String, Long>> windows) {
    acknowledged.keySet().retainAll(windows.keySet());
    UsageReport report = new UsageReport();
    report.instanceId = instanceId;
    windows.forEach(
        (number, counts) -> {
          UsageWindow window = changedCounts(number, counts);
          if (!window.counts.isEmpty()) {
            report.windows.add(window);
          }
        });
    return report;
  }

  private UsageWindow changedCounts(long number, Map<String, Long> counts) {
    Map<String, Long> acknowledgedCounts = acknowledged.getOrDefault(number, Map.of());
    UsageWindow window = new UsageWindow();
    window.number = number;
    counts.forEach(
        (tenant, requests) -> {
          if (!Objects.equals(acknowledgedCounts.get(tenant), requests)) {
            UsageCount count = new UsageCount();
            count.tenant = tenant;
            count.requests = requests;
            window.counts.add(count);
          }
        });
    return window;
  }

  /**
   * The node has acknowledged that report.
   *
   * @param respondingProcessId another one than before knows nothing of what that acknowledged, and
   *     may be older than the report as well: all is reported again
   */
  void onAcknowledged(UsageReport report, long respondingProcessId) {
    if (respondingProcessId != processId) {
      acknowledged.clear();
      processId = respondingProcessId;
    }
    for (UsageWindow window : report.windows) {
      Map<String, Long> acknowledgedCounts =
          acknowledged.computeIfAbsent(window.number, k -> new HashMap<>());
      for (UsageCount count : window.counts) {
        acknowledgedCounts.merge(count.tenant, count.requests, Math::max);
      }
    }
  }
}
