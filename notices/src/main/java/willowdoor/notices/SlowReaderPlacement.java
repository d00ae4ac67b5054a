package willowdoor.notices;

import java.util.List;

/**
 * Which member slow readers go to: 256 places dealt out by rendezvous hashing with bounded load
 * (each place to the member with the highest score for it that has fewer than 1.25 times its part),
 * so all members with the same view name the same one, and a view without one member leaves most
 * places where they were.
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

  /** The member that a customer's readers of that pace go to, -1 where there is none. */
  int memberFor(long customer, PaceClass pace) {
    return owner[(int) (hash(hash(customer) + pace.ordinal()) & (SLOT_COUNT - 1))];
  }

  int memberFor(int slot) {
    return owner[slot];
  }

  /** A member's score for a thing; the highest has it. */
  static long score(int member, long item) {
    return hash(hash(item) ^ (member + 1));
  }

  /**
   * The finisher of MurmurHash3 (Austin Appleby, public domain), after a step that takes 0
   * elsewhere.
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
