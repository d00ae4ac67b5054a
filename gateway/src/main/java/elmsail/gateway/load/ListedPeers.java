package elmsail.gateway.load;

import elmsail.config.ClusterState;
import elmsail.runtime.MonotonicClock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The gateways whose load reports are accepted: those that the control plane lists or has listed
 * recently. A gateway that the control plane temporarily cannot reach still serves requests. Owned
 * by the event loop; times in ms on the loop's clock.
 */
final class ListedPeers {
  /** Reports of a gateway are accepted for this time after the list last contained the gateway. */
  static final long EXPIRY_MS = 30_000;

  /** An unchanged list is read again after this time. */
  private static final long REREAD_INTERVAL_MS = 1_000;

  private final ClusterState clusterState;
  private final MonotonicClock clock;
  private final Map<String, Long> lastListedAt = new HashMap<>();

  /** The list that was read last. The cluster state replaces the whole list when it changes. */
  private List<String> lastList = List.of();

  private long lastReadAt;

  ListedPeers(ClusterState clusterState, MonotonicClock clock) {
    this.clusterState = clusterState;
    this.clock = clock;
  }

  /** Whether the list contains, or recently contained, a gateway with this RPC address. */
  boolean includes(String address) {
    readList();
    Long listedAt = lastListedAt.get(address);
    return listedAt != null && clock.now() - listedAt <= EXPIRY_MS;
  }

  private void readList() {
    List<String> list = clusterState.view().gateways;
    long now = clock.now();
    if (list == lastList && now - lastReadAt < REREAD_INTERVAL_MS) {
      return;
    }
    lastList = list;
    lastReadAt = now;
    lastListedAt.values().removeIf(listedAt -> now - listedAt > EXPIRY_MS);
    for (String gateway : list) {
      lastListedAt.put(gateway, now);
    }
  }
}
