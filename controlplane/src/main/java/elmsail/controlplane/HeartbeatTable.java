package elmsail.controlplane;

import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.VoterSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

/**
 * Who has asked this control-plane node for what is new, and when last; of each role the {@value
 * #MAX_MEMBERS} that were heard last.
 */
final class HeartbeatTable {
  static final int MAX_MEMBERS = 1_000;

  /** Role of stores in their pulls. */
  static final String STORE_ROLE = "store";

  /** A store, or another holder of records, as its last pull told of it; times are steady ms. */
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
  private final TreeMap<String, Long> gatewaysWithin = new TreeMap<>();

  private final String role;

  /** Makes one of the stores. */
  HeartbeatTable() {
    this(STORE_ROLE);
  }

  /** Makes one of the processes of that role that have a disk, beside the gateways. */
  HeartbeatTable(String role) {
    this.role = role;
  }

  String role() {
    return role;
  }

  void onHeartbeat(PullRequest request, long now) {
    if (role.equals(request.role) && (request.hasDisk || role.equals(STORE_ROLE))) {
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
    } else if ("gateway".equals(request.role)) {
      gatewaysWithin.put(request.address, now);
      dropOldest(gatewaysWithin, lastHeartbeatAtMs -> lastHeartbeatAtMs);
    }
  }

  private static <T> void dropOldest(Map<String, T> members, ToLongFunction<T> lastHeartbeatAtMs) {
    if (members.size() <= MAX_MEMBERS) {
      return;
    }
    String oldestKey = null;
    long oldestAtMs = Long.MAX_VALUE;
    for (Map.Entry<String, T> entry : members.entrySet()) {
      long at = lastHeartbeatAtMs.applyAsLong(entry.getValue());
      if (at < oldestAtMs) {
        oldestKey = entry.getKey();
        oldestAtMs = at;
      }
    }
    members.remove(oldestKey);
  }

  /** In the order of their addresses. */
  Collection<Member> members() {
    return members.values();
  }

  /** Null if it was not heard, or too long ago. */
  Member memberAt(String address) {
    return members.get(address);
  }

  /** Null if it was not heard, or too long ago. */
  Member memberOnMachine(String name) {
    Member latest = null;
    for (Member member : members.values()) {
      if (member.machine().equals(name)
          && (latest == null || member.lastHeartbeatAtMs() > latest.lastHeartbeatAtMs())) {
        latest = member;
      }
    }
    return latest;
  }

  /** Addresses of the gateways heard within so many ms, in order. */
  List<String> gatewaysWithin(long now, long withinMs) {
    List<String> recent = new ArrayList<>();
    gatewaysWithin.values().removeIf(lastHeartbeatAtMs -> now - lastHeartbeatAtMs > 60_000);
    gatewaysWithin.forEach(
        (address, lastHeartbeatAtMs) -> {
          if (now - lastHeartbeatAtMs <= withinMs) {
            recent.add(address);
          }
        });
    return recent;
  }
}
