package willowdoor.notices;

import java.util.List;

/**
 * Chooses the member to which slow readers are moved. 256 slots are assigned by rendezvous hashing
 * with bounded load: each slot goes to the member with the highest score for the slot that has
 * fewer than 1.25 times its share. All members with the same view choose the same member, and a
 * view without one member leaves most slots where they were.
 */
final class SlowReaderPlacement {
  static final int SLOT_COUNT = 256;
  private final int[] owner = new int[SLOT_COUNT];

  SlowReaderPlacement(List<FleetView.Member> members) {
    int bound = members.isEmpty() ? 0 : (int) Math.ceil(1.25 * SLOT_COUNT / members.size());
    int[] load = new int[members.size()];
    for (int slot = 0; slot < SLOT_COUNT; slot++) {
      int best = -1;
      for (int i = 0; i < members.size(); i++) {
        if (load[i] < bound
            && (best < 0
                || Long.compareUnsigned(
                        score(members.get(i).number(), slot),
                        score(members.get(best).number(), slot))
                    > 0)) {
          best = i;
        }
      }
      owner[slot] = best < 0 ? -1 : members.get(best).number();
      if (best >= 0) {
        load[best]++;
      }
    }
  }

  /** Returns the member for a customer's readers of that pace class, or -1 if there is none. */
  int memberFor(long customer, PaceClass pace) {
    return owner[(int) (hash(hash(customer) + pace.ordinal()) & (SLOT_COUNT - 1))];
  }

  int memberFor(int slot) {
    return owner[slot];
  }

  /** Returns a member's score for an item; the member with the highest score gets the item. */
  static long score(int member, long item) {
    return hash(hash(item) ^ (member + 1));
  }

  /**
   * The finalizer of MurmurHash3 (Austin Appleby, public domain), after an addition that maps 0 to
   * a nonzero value.
   */
  static long hash(long value) {
    long mixed = value + 0x9E3779B97F4A7C15L;
    mixed ^= mixed >>> 33;
    mixed *= 0xFF51AFD7ED558CCDL;
    mixed ^= mixed >>> 33;
    mixed *= 0xC4CEB9FE1A85EC53L;
    return mixed ^ mixed >>> 33;
  }
}
