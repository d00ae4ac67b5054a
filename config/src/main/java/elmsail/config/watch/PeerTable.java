package elmsail.config.watch;

import elmsail.rpc.messages.PullRequest;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The last status that each process reported with a watch request, by its role and machine.
 * Bounded: the process whose last request is oldest is removed first. Owned by the event loop.
 */
final class PeerTable {
  private static final int MAX_PEERS = 4_000;

  private final Map<String, PeerStatus> peers = new LinkedHashMap<>();

  /** The key that identifies the sender of a request among the peers. */
  static String keyOf(PullRequest request) {
    return request.role + '@' + request.machine;
  }

  /**
   * Records the status that a request reports of its sender.
   *
   * @param nowMs of the steady clock
   * @return whether the peer is new or its status differs from the previous one
   */
  boolean record(PullRequest request, long nowMs) {
    String key = keyOf(request);
    PeerStatus current =
        new PeerStatus(
            request.machine,
            request.address,
            request.zone,
            request.role,
            request.instanceId,
            request.voting,
            request.drained,
            request.jobStoreVoters,
            nowMs);
    PeerStatus previous = peers.remove(key);
    if (previous == null && peers.size() >= MAX_PEERS) {
      peers.remove(peers.keySet().iterator().next());
    }
    peers.put(key, current);
    return previous == null || !previous.equalsExceptTime(current);
  }

  /** The peers that sent a request at {@code sinceMs} or later, in no particular order. */
  List<PeerStatus> seenSince(long sinceMs) {
    List<PeerStatus> recent = new ArrayList<>();
    for (PeerStatus peer : peers.values()) {
      if (peer.receivedAtMs() >= sinceMs) {
        recent.add(peer);
      }
    }
    return recent;
  }
}
