package elmsail.consensus;

import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;

/**
 * Comparison and merging of voter sets. In each voter slot the voter of the higher epoch wins. Of
 * two voters of the same epoch, the confirmed one wins; if that doesn't decide, the voter that was
 * known first.
 *
 * <p>Voter sets and voters are never modified after they are shared: every change makes a new set.
 */
public final class VoterSets {
  private VoterSets() {}

  /** The size of the smallest majority of this number of voters. */
  public static int majoritySize(int voters) {
    return voters / 2 + 1;
  }

  /**
   * The size of the smallest blocking set, which is a set of voters that intersects every majority:
   * N - q + 1 of N voters, where q is the majority.
   */
  public static int blockingSize(int voters) {
    return voters - majoritySize(voters) + 1;
  }

  /**
   * Whether {@code one} has a higher epoch in some voter slot, or has voters where {@code other}
   * has none at all. Two sets may each be newer than the other.
   */
  public static boolean isNewer(VoterSet one, VoterSet other) {
    if (one.voters.size() != other.voters.size()) {
      return other.voters.isEmpty();
    }
    for (int i = 0; i < one.voters.size(); i++) {
      if (one.voters.get(i).epoch > other.voters.get(i).epoch) {
        return true;
      }
    }
    return false;
  }

  /** Whether both have equal voters in all slots, see {@link #areEqual(Voter, Voter)}. */
  public static boolean areEqual(VoterSet one, VoterSet other) {
    if (one.voters.size() != other.voters.size()) {
      return false;
    }
    for (int i = 0; i < one.voters.size(); i++) {
      if (!areEqual(one.voters.get(i), other.voters.get(i))) {
        return false;
      }
    }
    return true;
  }

  /** Whether both are the same voter: epoch, instance, address and machine. */
  public static boolean areEqual(Voter one, Voter other) {
    return one.epoch == other.epoch
        && one.instanceId == other.instanceId
        && one.address.equals(other.address)
        && one.machine.equals(other.machine);
  }

  /**
   * Merges slot by slot. A received voter set of another size is ignored, as the number of voter
   * slots of a set never changes.
   *
   * @return {@code known} itself if nothing in {@code received} supersedes it
   */
  public static VoterSet merge(VoterSet known, VoterSet received) {
    if (known.voters.isEmpty()) {
      return received.voters.isEmpty() ? known : received;
    }
    if (received.voters.size() != known.voters.size()) {
      return known;
    }
    VoterSet merged = known;
    for (int i = 0; i < known.voters.size(); i++) {
      Voter receivedVoter = received.voters.get(i);
      if (receivedVoter.supersedes(known.voters.get(i))) {
        merged = withVoter(merged, i, receivedVoter);
      }
    }
    return merged;
  }

  /**
   * Whether votes from this voter slot count. If an instance is named in two voter slots, only the
   * first slot counts, as one process would vote twice otherwise.
   */
  static boolean isCounted(VoterSet voterSet, int slot) {
    return slotOfInstance(voterSet, voterSet.voters.get(slot).instanceId) == slot;
  }

  /** The number of voter slots whose votes don't count, see {@link #isCounted}. */
  static int uncountedSlots(VoterSet voterSet) {
    int uncounted = 0;
    for (int slot = 0; slot < voterSet.voters.size(); slot++) {
      uncounted += isCounted(voterSet, slot) ? 0 : 1;
    }
    return uncounted;
  }

  /** A copy of {@code known} with another voter in one slot. */
  static VoterSet withVoter(VoterSet known, int slot, Voter voter) {
    VoterSet changed = new VoterSet();
    changed.voters.addAll(known.voters);
    changed.voters.set(slot, voter);
    return changed;
  }

  /** The first voter slot that names this instance, or -1. */
  static int slotOfInstance(VoterSet voterSet, long instanceId) {
    for (int slot = 0; slot < voterSet.voters.size(); slot++) {
      if (voterSet.voters.get(slot).instanceId == instanceId) {
        return slot;
      }
    }
    return -1;
  }

  /** The first voter slot that names this address or this machine, or -1. */
  static int slotOfHost(VoterSet voterSet, String address, String machine) {
    for (int slot = 0; slot < voterSet.voters.size(); slot++) {
      if (isOnHost(voterSet.voters.get(slot), address, machine)) {
        return slot;
      }
    }
    return -1;
  }

  /**
   * Whether the voter has this address or this machine.
   *
   * @param machine empty if it isn't known; an empty name equals no other machine's
   */
  static boolean isOnHost(Voter voter, String address, String machine) {
    return voter.address.equals(address) || !machine.isEmpty() && voter.machine.equals(machine);
  }
}
