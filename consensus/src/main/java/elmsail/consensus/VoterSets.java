package elmsail.consensus;

import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;

/**
 * Voter sets compared and merged: in each voter slot the higher epoch is right; of two equals the
 * one that votes, else the first.
 */
public final class VoterSets {
  private VoterSets() {}

  /** How many votes decide. */
  public static int majoritySize(int voters) {
    return voters / 2 + 1;
  }

  /** How many voter slots are in every majority's way: each majority has at least one of them. */
  public static int blockingSize(int voters) {
    return voters - majoritySize(voters) + 1;
  }

  /**
   * Whether {@code one} has a higher epoch in some voter slot, or voter slots where the other has
   * none.
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

  /** Whether both tell the same of every voter slot, its holder included. */
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

  /** Whether both are the same holder of a slot: instance, epoch, address and station. */
  public static boolean areEqual(Voter one, Voter other) {
    return one.epoch == other.epoch
        && one.instanceId == other.instanceId
        && one.address.equals(other.address)
        && one.machine.equals(other.machine);
  }

  /**
   * {@code known}, itself if nothing in {@code response} supersedes it; a set's count of voter
   * slots never changes.
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
   * Whether the voter slot's votes count: an instance that is told of in two voter slots has only
   * the first, else one process would vote twice.
   */
  static boolean isCounted(VoterSet voterSet, int slot) {
    return slotOfInstance(voterSet, voterSet.voters.get(slot).instanceId) == slot;
  }

  /** How many voter slots' votes don't count. */
  static int uncountedSlots(VoterSet voterSet) {
    int vacant = 0;
    for (int i = 0; i < voterSet.voters.size(); i++) {
      vacant += isCounted(voterSet, i) ? 0 : 1;
    }
    return vacant;
  }

  /** {@code known} with another holder in one voter slot. */
  static VoterSet withVoter(VoterSet known, int slot, Voter voter) {
    VoterSet changed = new VoterSet();
    changed.voters.addAll(known.voters);
    changed.voters.set(slot, voter);
    return changed;
  }

  /** The voter slot that this instance holds or has claimed, or -1. */
  static int slotOfInstance(VoterSet voterSet, long instanceId) {
    for (int i = 0; i < voterSet.voters.size(); i++) {
      if (voterSet.voters.get(i).instanceId == instanceId) {
        return i;
      }
    }
    return -1;
  }

  /** The voter slot that is held at this address or by this station, or -1. */
  static int slotOfHost(VoterSet voterSet, String address, String station) {
    for (int i = 0; i < voterSet.voters.size(); i++) {
      if (isOnHost(voterSet.voters.get(i), address, station)) {
        return i;
      }
    }
    return -1;
  }

  /** Whether the holder is, or was, at this address or of this station. */
  static boolean isOnHost(Voter voter, String address, String station) {
    return voter.address.equals(address) || !station.isEmpty() && voter.machine.equals(station);
  }
}
