package elmsail.controlplane;

import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.VoterSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;

/**
 * Who has asked this control-plane node for what is new, and when last; at most {@value #MOST} of
 * each role.
 */
final class HeartbeatTable {
  private static final int MOST = 1_000;

  /** A store, or another holder of records, as its last pull told of it; times are steady ms. */
  record Vault(
      String address,
      String station,
      String zone,
      long instanceId,
      boolean voting,
      VoterSet storeSet,
      long firstAt,
      long lastAt) {}

  private final TreeMap<String, Vault> stores = new TreeMap<>();
  private final TreeMap<String, Long> gateways = new TreeMap<>();

  private final String role;

  /** Makes one of the stores. */
  HeartbeatTable() {
    this("store");
  }

  /** Makes one of the processes of that role that have a disk, beside the gateways. */
  HeartbeatTable(String role) {
    this.role = role;
  }

  void note(PullRequest request, long now) {
    if (role.equals(request.role) && (request.hasDisk || role.equals("store"))) {
      Vault before = stores.get(request.address);
      if (before != null || stores.size() < MOST) {
        VoterSet storeSet = request.storeSet == null ? new VoterSet() : request.storeSet;
        long first =
            before == null || before.instanceId != request.instanceId ? now : before.firstAt;
        stores.put(
            request.address,
            new Vault(
                request.address,
                request.station,
                request.zone,
                request.instanceId,
                request.voting,
                storeSet,
                first,
                now));
      }
    } else if ("gateway".equals(request.role)
        && (gateways.containsKey(request.address) || gateways.size() < MOST)) {
      gateways.put(request.address, now);
    }
  }

  /** In the order of their addresses; all that were ever heard in this life. */
  Collection<Vault> stores() {
    return stores.values();
  }

  /** Null if it was never heard. */
  Vault store(String address) {
    return stores.get(address);
  }

  /** Null if it was never heard. */
  Vault station(String name) {
    Vault found = null;
    for (Vault store : stores.values()) {
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
