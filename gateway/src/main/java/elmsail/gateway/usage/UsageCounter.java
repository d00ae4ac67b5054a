package elmsail.gateway.usage;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts started requests by time window and tenant. Counts only grow. Only the newest windows are
 * kept; older windows are dropped, as they are too late to be reported. Pure; runs on the event
 * loop.
 */
final class UsageCounter {
  private final int maxWindows;
  private final TreeMap<Long, Map<String, Long>> windows = new TreeMap<>();

  /** Creates an empty counter that keeps at most {@code maxWindows} windows. */
  UsageCounter(int maxWindows) {
    this.maxWindows = maxWindows;
  }

  /** Counts a request of a tenant as started in a window. */
  void count(long window, String tenant) {
    if (windows.size() >= maxWindows && !windows.containsKey(window)) {
      if (window < windows.firstKey()) {
        return;
      }
      windows.pollFirstEntry();
    }
    windows.computeIfAbsent(window, first -> new TreeMap<>()).merge(tenant, 1L, Long::sum);
  }

  /** Drops the windows before the given window. */
  void dropBefore(long window) {
    windows.headMap(window).clear();
  }

  /** The counts by window and tenant, in ascending order; an unmodifiable view. */
  Map<Long, Map<String, Long>> windows() {
    return Collections.unmodifiableMap(windows);
  }
}
