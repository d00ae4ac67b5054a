package elmsail.gateway.requests;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Records which servers responded to an item with an error, so that the item is retried at other
 * servers. Keeps a limited number of items, the newest ones. Owned by the gateway's event loop.
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

  /** Records that the server failed the item. */
  void add(String itemId, String serverId) {
    serversByItem.computeIfAbsent(itemId, id -> new HashSet<>()).add(serverId);
  }

  /** Removes the failures of an item that needs no further attempt. */
  void remove(String itemId) {
    serversByItem.remove(itemId);
  }

  /** Whether any server failed the item. */
  boolean hasFailed(String itemId) {
    return serversByItem.containsKey(itemId);
  }

  /** Whether this server failed the item. */
  boolean hasFailedAt(String itemId, String serverId) {
    return serversByItem.getOrDefault(itemId, Set.of()).contains(serverId);
  }
}
