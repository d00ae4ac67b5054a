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
  public static int majority(int voters) {
    return voters / 2 + 1;
  }

  /** How many voter slots are in every majority's way: each majority has at least one of them. */
  public static int blocking(int voters) {
    return voters - majority(voters) + 1;
  }

  /**
   * Whether {@code one} has a higher epoch in some voter slot, or voter slots where the other has
   * none.
   */
  public static boolean newer(VoterSet one, VoterSet other) {
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
  public static boolean same(VoterSet one, VoterSet other) {
    if (one.voters.size() != other.voters.size()) {
      return false;
    }
    for (int i = 0; i < one.voters.size(); i++) {
      if (!same(one.voters.get(i), other.voters.get(i))) {
        return false;
      }
    }
    return true;
  }

  /** Whether both are the same holder of a slot: instance, epoch, address and station. */
  public static boolean same(Voter one, Voter other) {
    return one.epoch == other.epoch
        && one.instanceId == other.instanceId
        && one.address.equals(other.address)
        && one.machine.equals(other.machine);
  }

  /**
   * {@code known}, itself if nothing in {@code response} supersedes it; a set's count of voter
   * slots never changes.
   */
  public static VoterSet merge(VoterSet known, VoterSet response) {
    if (known.voters.isEmpty()) {
      return response.voters.isEmpty() ? known : response;
    }
    if (response.voters.size() != known.voters.size()) {
      return known;
    }
    VoterSet merged = known;
    for (int i = 0; i < known.voters.size(); i++) {
      Voter theirs = response.voters.get(i);
      if (theirs.supersedes(known.voters.get(i))) {
        merged = with(merged, i, theirs);
      }
    }
    return merged;
  }

  /**
   * Whether the voter slot's votes count: an instance that is told of in two voter slots has only
   * the first, else one process would vote twice.
   */
  static boolean counts(VoterSet voterSet, int slot) {
    return ofInstance(voterSet, voterSet.voters.get(slot).instanceId) == slot;
  }

  /** How many voter slots' votes don't count. */
  static int vacant(VoterSet voterSet) {
    int vacant = 0;
    for (int i = 0; i < voterSet.voters.size(); i++) {
      vacant += counts(voterSet, i) ? 0 : 1;
    }
    return vacant;
  }

  /** {@code known} with another holder in one voter slot. */
  static VoterSet with(VoterSet known, int slot, Voter holder) {
    VoterSet changed = new VoterSet();
    changed.voters.addAll(known.voters);
    changed.voters.set(slot, holder);
    return changed;
  }

  /** The voter slot that this instance holds or has claimed, or -1. */
  static int ofInstance(VoterSet voterSet, long instanceId) {
    for (int i = 0; i < voterSet.voters.size(); i++) {
      if (voterSet.voters.get(i).instanceId == instanceId) {
        return i;
      }
    }
    return -1;
  }

  /** The voter slot that is held at this address or by this station, or -1. */
  static int ofPlace(VoterSet voterSet, String address, String station) {
    for (int i = 0; i < voterSet.voters.size(); i++) {
      if (isOf(voterSet.voters.get(i), address, station)) {
        return i;
      }
    }
    return -1;
  }

  /** Whether the holder is, or was, at this address or of this station. */
  static boolean isOf(Voter holder, String address, String station) {
    return holder.address.equals(address) || !station.isEmpty() && holder.machine.equals(station);
  }
}
