package elmsail.controlplane;

import elmsail.rpc.messages.UsageCount;
import elmsail.rpc.messages.UsageReport;
import elmsail.rpc.messages.UsageWindow;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The usage that gateways reported to this node: counts of started requests by window, gateway
 * instance and tenant. Counts only grow, so the highest reported count is kept, whatever the order
 * and repetition of reports. Keeps a limited number of the newest windows. Does no I/O; runs on the
 * event loop.
 */
final class UsageTable {
  private static final int MAX_INSTANCES_PER_WINDOW = 4_096;
  private static final int MAX_TENANTS_PER_INSTANCE = 4_096;

  private final int maxWindows;
  private final TreeMap<Long, Map<Long, Map<String, Long>>> windows = new TreeMap<>();

  /** Creates an empty table that keeps at most {@code maxWindows} windows. */
  UsageTable(int maxWindows) {
    this.maxWindows = maxWindows;
  }

  /**
   * Records a gateway's report.
   *
   * @param newestWindow the newest accepted window; later windows and windows too old to be kept
   *     are ignored
   */
  void onReport(UsageReport report, long newestWindow) {
    windows.headMap(newestWindow - maxWindows + 1).clear();
    for (UsageWindow window : report.windows) {
      if (window.number <= newestWindow && window.number > newestWindow - maxWindows) {
        merge(window, report.instanceId);
      }
    }
  }

  private void merge(UsageWindow window, long instanceId) {
    Map<Long, Map<String, Long>> instances =
        windows.computeIfAbsent(window.number, key -> new HashMap<>());
    if (instances.size() >= MAX_INSTANCES_PER_WINDOW && !instances.containsKey(instanceId)) {
      return;
    }
    Map<String, Long> counts = instances.computeIfAbsent(instanceId, key -> new HashMap<>());
    for (UsageCount count : window.counts) {
      if (count.requests > 0
          && (counts.size() < MAX_TENANTS_PER_INSTANCE || counts.containsKey(count.tenant))) {
        counts.merge(count.tenant, count.requests, Math::max);
      }
    }
  }

  /** Returns the sum over all gateways, by tenant; empty for a window without counts. */
  SortedMap<String, Long> totals(long window) {
    SortedMap<String, Long> totals = new TreeMap<>();
    for (Map<String, Long> counts : windows.getOrDefault(window, Map.of()).values()) {
      counts.forEach((tenant, requests) -> totals.merge(tenant, requests, Long::sum));
    }
    return Collections.unmodifiableSortedMap(totals);
  }

  /** The number of windows with counts. */
  int size() {
    return windows.size();
  }
}
