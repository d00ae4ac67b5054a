package elmsail.controlplane;

import elmsail.config.watch.PeerRole;
import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.VoterSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

/**
 * The last heartbeat of each process; a pull from this control-plane node counts as a heartbeat.
 * Keeps the {@value #MAX_MEMBERS} most recent members and as many gateways. Times are in ms of the
 * monotonic clock. Runs on the event loop.
 */
final class HeartbeatTable {
  static final int MAX_MEMBERS = 1_000;

  private static final long GATEWAY_RETENTION_MS = 60_000;

  /** A store or control-plane node as its last pull described it. */
  record Member(
      String address,
      String machine,
      String zone,
      long instanceId,
      boolean isVoting,
      VoterSet jobStoreVoters,
      long firstHeartbeatAtMs,
      long lastHeartbeatAtMs) {}

  private final TreeMap<String, Member> members = new TreeMap<>();
  private final TreeMap<String, Long> gateways = new TreeMap<>();

  private final PeerRole role;

  /** Creates an empty table of gateways and of members with that role. */
  HeartbeatTable(PeerRole role) {
    this.role = role;
  }

  /** The role of the members. */
  PeerRole role() {
    return role;
  }

  /**
   * Records a pull as a heartbeat. Pulls of other roles, and of control-plane nodes without a disk,
   * are ignored.
   */
  void onHeartbeat(PullRequest request, long now) {
    if (role.isRoleOf(request) && (request.hasDisk || role == PeerRole.STORE)) {
      Member previous = members.get(request.address);
      VoterSet jobStoreVoters =
          request.jobStoreVoters == null ? new VoterSet() : request.jobStoreVoters;
      long firstHeartbeatAtMs =
          previous == null || previous.instanceId != request.instanceId
              ? now
              : previous.firstHeartbeatAtMs;
      members.put(
          request.address,
          new Member(
              request.address,
              request.machine,
              request.zone,
              request.instanceId,
              request.voting,
              jobStoreVoters,
              firstHeartbeatAtMs,
              now));
      dropOldest(members, Member::lastHeartbeatAtMs);
    } else if (PeerRole.GATEWAY.isRoleOf(request)) {
      gateways.put(request.address, now);
      dropOldest(gateways, lastHeartbeatAtMs -> lastHeartbeatAtMs);
    }
  }

  private static <T> void dropOldest(Map<String, T> members, ToLongFunction<T> lastHeartbeatAtMs) {
    if (members.size() <= MAX_MEMBERS) {
      return;
    }
    String oldestKey = null;
    long oldestAtMs = Long.MAX_VALUE;
    for (Map.Entry<String, T> entry : members.entrySet()) {
      long atMs = lastHeartbeatAtMs.applyAsLong(entry.getValue());
      if (atMs < oldestAtMs) {
        oldestKey = entry.getKey();
        oldestAtMs = atMs;
      }
    }
    members.remove(oldestKey);
  }

  /** All members, in the order of their addresses. */
  Collection<Member> members() {
    return members.values();
  }

  /** The member at that RPC address; null if it has sent no heartbeat or was dropped. */
  Member memberAt(String address) {
    return members.get(address);
  }

  /** The most recent member on that machine; null if it has sent no heartbeat or was dropped. */
  Member memberOnMachine(String machine) {
    Member latest = null;
    for (Member member : members.values()) {
      if (member.machine().equals(machine)
          && (latest == null || member.lastHeartbeatAtMs() > latest.lastHeartbeatAtMs())) {
        latest = member;
      }
    }
    return latest;
  }

  /** Sorted addresses of the gateways whose last heartbeat is at most {@code withinMs} old. */
  List<String> gatewaysWithin(long now, long withinMs) {
    List<String> recent = new ArrayList<>();
    gateways.values().removeIf(lastHeartbeatAtMs -> now - lastHeartbeatAtMs > GATEWAY_RETENTION_MS);
    gateways.forEach(
        (address, lastHeartbeatAtMs) -> {
          if (now - lastHeartbeatAtMs <= withinMs) {
            recent.add(address);
          }
        });
    return recent;
  }
}
