package elmsail.controlplane;

import elmsail.consensus.VoterSets;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Decides who holds the voter slots of the stores, or of the head, from what was heard: the stores'
 * founding, and which spare takes a slot whose holder is gone or is to be retired. Pure; all times
 * are steady ms.
 */
final class PlacementController {
  static final long GONE_MS = 2_500;
  static final long SPARE_MS = 800;

  /**
   * For the head's slots: above a restart after a short loss of power where that can be, and low
   * enough that a successor votes within catch_up_s of its start even if its predecessor went only
   * then (3.0 s, a look each 0.2 s, the order at once, the copy of few keys).
   */
  static final long HEAD_GONE_MS = 3_000;

  private static final long FOUND_FEWER_MS = 6_000;
  private static final long ZONES_WAIT_MS = 1_000;

  /** A storePlacement that did not look for so long was held up itself, and listens anew. */
  private static final long HELD_UP_MS = 700;

  private final int voters;
  private final long goneMs;
  private long listening;
  private long lastLook;
  private Order order;
  private int orders;
  private long orderedLife;
  private int orderedFrom;

  /** Which store is to claim which voter slot, and as what. */
  record Order(int slot, String address, int epoch) {}

  /** Makes one for so many voter slots, listening from now on. */
  PlacementController(int voters, long now) {
    this(voters, GONE_MS, now);
  }

  /** Makes one that takes a holder for gone when it was not heard for so long. */
  PlacementController(int voters, long goneMs, long now) {
    this.goneMs = goneMs;
    this.voters = voters;
    this.listening = now;
    this.lastLook = now;
  }

  /** The first voter set, or null as long as it is not time; asked only while there is none. */
  VoterSet founding(HeartbeatTable heard, long now) {
    List<HeartbeatTable.Member> there = new ArrayList<>();
    long first = Long.MAX_VALUE;
    Set<String> zones = new HashSet<>();
    for (HeartbeatTable.Member store : heard.stores()) {
      if (!store.voting() && store.storeSet().voters.isEmpty() && now - store.lastAt() <= goneMs) {
        there.add(store);
        zones.add(store.zone());
        first = Math.min(first, store.firstAt());
      }
    }
    boolean enough =
        there.size() >= voters && (zones.size() >= voters || now - first >= ZONES_WAIT_MS);
    if (there.isEmpty() || !enough && now - first < FOUND_FEWER_MS) {
      return null;
    }
    List<HeartbeatTable.Member> chosen = spread(there);
    VoterSet voterSet = new VoterSet();
    for (HeartbeatTable.Member store : chosen) {
      voterSet.voters.add(
          VoterSetValue.slot(store.address(), store.station(), store.instanceId(), 1));
    }
    return voterSet;
  }

  /** One of each zone first, then others; in the order of their addresses. */
  private List<HeartbeatTable.Member> spread(List<HeartbeatTable.Member> there) {
    List<HeartbeatTable.Member> chosen = new ArrayList<>();
    Set<String> zones = new HashSet<>();
    for (HeartbeatTable.Member store : there) {
      if (chosen.size() < voters && zones.add(store.zone())) {
        chosen.add(store);
      }
    }
    for (HeartbeatTable.Member store : there) {
      if (chosen.size() < voters && !chosen.contains(store)) {
        chosen.add(store);
      }
    }
    chosen.sort(Comparator.comparing(HeartbeatTable.Member::address));
    return chosen;
  }

  /**
   * What is to be claimed at present, or null. Called often, also while the lease is not held.
   *
   * @param retiring stations that are to be emptied
   * @param hears whether silence may be counted, also before the lease is held: this node's own
   *     silence isn't the others'
   * @param mayDirect whether this control-plane node holds the lease and reads the head's register
   *     at a majority
   */
  Order order(
      HeartbeatTable heard,
      VoterSet storeSet,
      Set<String> retiring,
      boolean hears,
      boolean mayDirect,
      long now) {
    if (!hears || now - lastLook > HELD_UP_MS) {
      listening = now;
    }
    lastLook = now;
    if (!mayDirect) {
      order = null;
      return null;
    }
    forgetDone(storeSet);
    int slot =
        order != null && wanted(heard, storeSet, retiring, order.slot(), now) ? order.slot() : -1;
    for (int i = 0; i < storeSet.voters.size() && slot < 0; i++) {
      if (wanted(heard, storeSet, retiring, i, now)) {
        slot = i;
      }
    }
    if (slot < 0) {
      order = null;
      return null;
    }
    if (order != null && order.slot() == slot && heardWithin(heard, order.address(), goneMs, now)) {
      return order;
    }
    HeartbeatTable.Member spare = spare(heard, storeSet, retiring, slot, now);
    order = spare == null ? null : new Order(slot, spare.address(), epoch(storeSet, slot));
    return order;
  }

  private void forgetDone(VoterSet storeSet) {
    if (order != null
        && (order.slot() >= storeSet.voters.size()
            || storeSet.voters.get(order.slot()).epoch >= order.epoch())) {
      order = null;
    }
  }

  /**
   * Above the present holder's, and above that of each spare that was sent for the voter slot
   * before.
   */
  private int epoch(VoterSet storeSet, int slot) {
    Voter holder = storeSet.voters.get(slot);
    boolean sameHolder = holder.instanceId == orderedLife && slot == orderedFrom;
    orders = sameHolder ? orders + 1 : 1;
    orderedLife = holder.instanceId;
    orderedFrom = slot;
    return holder.epoch + orders;
  }

  /** Whether the voter slot is to be taken by another, and no other voter slot is in change. */
  private boolean wanted(
      HeartbeatTable heard, VoterSet storeSet, Set<String> retiring, int slot, long now) {
    Voter holder = storeSet.voters.get(slot);
    boolean gone = gone(heard, holder, now);
    if (!gone && !retiring.contains(holder.machine)) {
      return false;
    }
    int voting = 0;
    int away = 0;
    for (int i = 0; i < storeSet.voters.size(); i++) {
      if (i == slot) {
        continue;
      }
      Voter other = storeSet.voters.get(i);
      HeartbeatTable.Member store = heard.store(other.address);
      if (gone(heard, other, now)) {
        away++;
      } else if (store != null && store.voting() && store.instanceId() == other.instanceId) {
        voting++;
      } else {
        return false;
      }
    }
    return voting >= VoterSets.blockingSize(storeSet.voters.size()) && (gone || away == 0);
  }

  private boolean gone(HeartbeatTable heard, Voter holder, long now) {
    HeartbeatTable.Member store = heard.store(holder.address);
    long last = store == null ? listening : Math.max(listening, store.lastAt());
    return now - last > goneMs;
  }

  private static boolean heardWithin(HeartbeatTable heard, String address, long ms, long now) {
    HeartbeatTable.Member store = heard.store(address);
    return store != null && now - store.lastAt() <= ms;
  }

  /** In a zone where no other voter slot is, if there is such a one. */
  private static HeartbeatTable.Member spare(
      HeartbeatTable heard, VoterSet storeSet, Set<String> retiring, int slot, long now) {
    Set<String> zones = new HashSet<>();
    for (int i = 0; i < storeSet.voters.size(); i++) {
      HeartbeatTable.Member holder = heard.store(storeSet.voters.get(i).address);
      if (i != slot && holder != null) {
        zones.add(holder.zone());
      }
    }
    HeartbeatTable.Member any = null;
    for (HeartbeatTable.Member store : heard.stores()) {
      if (now - store.lastAt() <= SPARE_MS
          && VoterSetValue.slotOf(storeSet, store.address()) < 0
          && !retiring.contains(store.station())) {
        if (!zones.contains(store.zone())) {
          return store;
        }
        any = any == null ? store : any;
      }
    }
    return any;
  }
}
