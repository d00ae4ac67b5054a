package elmsail.controlplane;

import elmsail.consensus.VoterSets;
import elmsail.rpc.messages.FoundingResponse;
import elmsail.rpc.messages.VoterSet;
import java.util.HashSet;
import java.util.Set;

/** One seed's rounds in the single agreement on the first voters of "head". Pure. */
final class FoundingProposer {
  /** Ballots of different seeds differ in their lowest part. */
  private static final int MOST_SEEDS = 64;

  private final int seeds;
  private final int ownSeed;
  private final Set<Integer> granted = new HashSet<>();
  private long highest;
  private long ballot;
  private VoterSet proposal;
  private long bestAccepted;
  private boolean accepting;

  /** Makes one for so many seeds, of which this process is the given one. */
  FoundingProposer(int seeds, int ownSeed) {
    this.seeds = seeds;
    this.ownSeed = ownSeed;
  }

  /** Begins a round above all ballots that were heard of. */
  long begin(VoterSet wanted) {
    ballot = (highest / MOST_SEEDS + 1) * MOST_SEEDS + ownSeed;
    highest = ballot;
    proposal = wanted;
    bestAccepted = 0;
    accepting = false;
    granted.clear();
    return ballot;
  }

  /**
   * A seed's answer to the asking for promises; what is now to be accepted, once a majority has
   * promised: what was accepted in the highest ballot, or else this round's own proposal.
   */
  VoterSet promised(int seed, long inBallot, FoundingResponse response) {
    highest = Math.max(highest, response.promisedBallot);
    if (inBallot != ballot || accepting || !response.granted) {
      return null;
    }
    if (response.acceptedBallot > bestAccepted) {
      bestAccepted = response.acceptedBallot;
      proposal = response.acceptedVoterSet;
    }
    granted.add(seed);
    if (granted.size() < VoterSets.majoritySize(seeds)) {
      return null;
    }
    accepting = true;
    granted.clear();
    return proposal;
  }

  /** A seed's answer to an acceptance; the decision, once a majority has accepted. */
  VoterSet accepted(int seed, long inBallot, FoundingResponse response) {
    highest = Math.max(highest, response.promisedBallot);
    if (inBallot != ballot || !accepting || !response.granted) {
      return null;
    }
    granted.add(seed);
    return granted.size() >= VoterSets.majoritySize(seeds) ? proposal : null;
  }
}
