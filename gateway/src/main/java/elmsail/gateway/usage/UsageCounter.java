package elmsail.gateway.usage;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts of started requests by window of the time of day and tenant. Counts only grow; windows
 * older than the newest few are dropped, as nobody may report them any more. Pure; runs on the
 * event loop.
 */
final class UsageCounter {
  private final int maxWindows;
  private final TreeMap<Long, Map<String, Long>> windows = new TreeMap<>();

  /** Creates one without counts that keeps so many windows. */
  UsageCounter(int maxWindows) {
    this.maxWindows = maxWindows;
  }

  /** Counts a request of that tenant as started in that window. */
  void count(long window, String tenant) {
    if (windows.size() >= maxWindows && !windows.containsKey(window)) {
      if (window < windows.firstKey()) {
        return;
      }
      windows.pollFirstEntry();
    }
    windows.computeIfAbsent(window, first -> new TreeMap<>()).merge(tenant, 1L, Long::sum);
  }

  /** Drops the windows before that one. */
  void dropBefore(long window) {
    windows.headMap(window).clear();
  }

  /** The counts by window and tenant, in order; not to be changed. */
  Map<Long, Map<String, Long>> windows() {
    return Collections.unmodifiableMap(windows);
  }
}
