package elmsail.controlplane;

import elmsail.consensus.VoterSets;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;

/**
 * The newest voter set of the job stores that this node has seen, merged slot by slot from the
 * register, from the stores' pulls and from other control-plane nodes. Kept in memory only; runs on
 * the event loop.
 */
final class KnownVoterSet {
  private final Runnable changeListener;
  private VoterSet current = new VoterSet();

  /** Creates an empty one; the listener is called after each change. */
  KnownVoterSet(Runnable changeListener) {
    this.changeListener = changeListener;
  }

  /** The voter set; without voters before the bootstrap. Not to be changed. */
  VoterSet current() {
    return current;
  }

  boolean isEmpty() {
    return current.voters.isEmpty();
  }

  /** Merges a voter set: in each slot the higher epoch is kept. */
  void learn(VoterSet other) {
    VoterSet merged = VoterSets.merge(current, other);
    if (merged != current) {
      current = merged;
      changeListener.run();
    }
  }

  /** Whether a store on that machine holds a voter slot, voting or not yet. */
  boolean hasVoterOnMachine(String machine) {
    for (Voter voter : current.voters) {
      if (voter.machine.equals(machine)) {
        return true;
      }
    }
    return false;
  }
}
