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
 * #MOST} that were heard last.
 */
final class HeartbeatTable {
  static final int MOST = 1_000;

  /** Role of stores in their pulls. */
  static final String STORE_ROLE = "store";

  /** A store, or another holder of records, as its last pull told of it; times are steady ms. */
  record Member(
      String address,
      String station,
      String zone,
      long instanceId,
      boolean voting,
      VoterSet storeSet,
      long firstAt,
      long lastAt) {}

  private final TreeMap<String, Member> stores = new TreeMap<>();
  private final TreeMap<String, Long> gateways = new TreeMap<>();

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

  void note(PullRequest request, long now) {
    if (role.equals(request.role) && (request.hasDisk || role.equals(STORE_ROLE))) {
      Member before = stores.get(request.address);
      VoterSet storeSet = request.jobStoreVoters == null ? new VoterSet() : request.jobStoreVoters;
      long first = before == null || before.instanceId != request.instanceId ? now : before.firstAt;
      stores.put(
          request.address,
          new Member(
              request.address,
              request.machine,
              request.zone,
              request.instanceId,
              request.voting,
              storeSet,
              first,
              now));
      dropOldest(stores, Member::lastAt);
    } else if ("gateway".equals(request.role)) {
      gateways.put(request.address, now);
      dropOldest(gateways, at -> at);
    }
  }

  private static <T> void dropOldest(Map<String, T> heard, ToLongFunction<T> lastAt) {
    if (heard.size() <= MOST) {
      return;
    }
    String oldest = null;
    long oldestAt = Long.MAX_VALUE;
    for (Map.Entry<String, T> each : heard.entrySet()) {
      long at = lastAt.applyAsLong(each.getValue());
      if (at < oldestAt) {
        oldest = each.getKey();
        oldestAt = at;
      }
    }
    heard.remove(oldest);
  }

  /** In the order of their addresses. */
  Collection<Member> stores() {
    return stores.values();
  }

  /** Null if it was not heard, or too long ago. */
  Member store(String address) {
    return stores.get(address);
  }

  /** Null if it was not heard, or too long ago. */
  Member station(String name) {
    Member found = null;
    for (Member store : stores.values()) {
      if (store.station().equals(name) && (found == null || store.lastAt() > found.lastAt())) {
        found = store;
      }
    }
    return found;
  }

  /** Addresses of the gateways heard within so many ms, in order. */
  List<String> gateways(long now, long withinMs) {
    List<String> lately = new ArrayList<>();
    gateways.values().removeIf(at -> now - at > 60_000);
    gateways.forEach(
        (address, at) -> {
          if (now - at <= withinMs) {
            lately.add(address);
          }
        });
    return lately;
  }
}
