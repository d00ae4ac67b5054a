package elmsail.gateway.usage;

import elmsail.rpc.messages.UsageCount;
import elmsail.rpc.messages.UsageReport;
import elmsail.rpc.messages.UsageWindow;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * The counts of a gateway that one control-plane node has acknowledged. Creates reports of the
 * counts that the node has not acknowledged. Pure; runs on the event loop.
 */
final class ReportedCounts {
  private final Map<Long, Map<String, Long>> acknowledged = new HashMap<>();
  private long processId;

  /** Creates a report, possibly empty, of all counts whose current value is not acknowledged. */
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
   * Records that the node has acknowledged a report.
   *
   * @param respondingProcessId the id of the process that responded. If the id differs from that of
   *     the previous response, another process has responded, which has none of the counts that the
   *     previous process acknowledged. That process may have started before the report was created,
   *     so the report may omit counts that the responding process lacks. All counts that are not in
   *     the report are reported again.
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
