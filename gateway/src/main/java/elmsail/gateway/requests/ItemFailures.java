package elmsail.gateway.requests;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Which servers answered an item of a job with an error, so that it is run elsewhere; of the newest
 * failures only.
 */
final class ItemFailures {
  private static final int MAX_ITEMS = 4_096;

  private final Map<String, Set<String>> serversByItem =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Set<String>> eldest) {
          return size() > MAX_ITEMS;
        }
      };

  /** The server failed the item. */
  void add(String itemId, String serverId) {
    serversByItem.computeIfAbsent(itemId, id -> new HashSet<>()).add(serverId);
  }

  /** The item needs no further run. */
  void remove(String itemId) {
    serversByItem.remove(itemId);
  }

  /** Whether any server failed the item. */
  boolean hasFailed(String itemId) {
    return serversByItem.containsKey(itemId);
  }

  /** Whether that server failed the item. */
  boolean hasFailedAt(String itemId, String serverId) {
    return serversByItem.getOrDefault(itemId, Set.of()).contains(serverId);
  }
}
