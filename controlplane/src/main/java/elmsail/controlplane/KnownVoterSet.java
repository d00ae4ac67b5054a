package elmsail.controlplane;

import elmsail.consensus.VoterSets;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;

/**
 * The newest voter set of the job stores that this node has seen. The voter set is merged slot by
 * slot from the register, the stores' pulls and other control-plane nodes. Kept in memory only;
 * runs on the event loop.
 */
final class KnownVoterSet {
  private final Runnable changeListener;
  private VoterSet current = new VoterSet();

  /** Creates an empty voter set; the listener is called after each change. */
  KnownVoterSet(Runnable changeListener) {
    this.changeListener = changeListener;
  }

  /** The current voter set; has no voters before the bootstrap. Callers must not modify it. */
  VoterSet current() {
    return current;
  }

  boolean isEmpty() {
    return current.voters.isEmpty();
  }

  /** Merges a voter set; each slot keeps the voter with the higher epoch. */
  void learn(VoterSet other) {
    VoterSet merged = VoterSets.merge(current, other);
    if (merged != current) {
      current = merged;
      changeListener.run();
    }
  }

  /** Whether a store on that machine holds a voter slot, even if the store does not vote yet. */
  boolean hasVoterOnMachine(String machine) {
    for (Voter voter : current.voters) {
      if (voter.machine.equals(machine)) {
        return true;
      }
    }
    return false;
  }
}
