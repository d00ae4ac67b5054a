package elmsail.controlplane;

import elmsail.consensus.VoterSets;
import elmsail.rpc.messages.FoundingResponse;
import elmsail.rpc.messages.VoterSet;
import java.util.HashSet;
import java.util.Set;

/** One seed's rounds in the single agreement on the first voters of "head". Pure. */
final class BootstrapProposer {
  /** Ballots of different seeds differ in their lowest part. */
  private static final int MAX_SEEDS = 64;

  private final int seedCount;
  private final int localSeedIndex;
  private final Set<Integer> grantedBy = new HashSet<>();
  private long highestBallot;
  private long ballot;
  private VoterSet proposal;
  private long highestAcceptedBallot;
  private boolean inAcceptPhase;

  /** Makes one for so many seeds, of which this process is the given one. */
  BootstrapProposer(int seedCount, int localSeedIndex) {
    this.seedCount = seedCount;
    this.localSeedIndex = localSeedIndex;
  }

  /** Begins a round above all ballots that were heard of. */
  long startRound(VoterSet candidateVoterSet) {
    ballot = (highestBallot / MAX_SEEDS + 1) * MAX_SEEDS + localSeedIndex;
    highestBallot = ballot;
    proposal = candidateVoterSet;
    highestAcceptedBallot = 0;
    inAcceptPhase = false;
    grantedBy.clear();
    return ballot;
  }

  /**
   * A seed's answer to the asking for promises; what is now to be accepted, once a majority has
   * promised: what was accepted in the highest ballot, or else this round's own proposal.
   */
  VoterSet onPrepareResponse(int seed, long responseBallot, FoundingResponse response) {
    highestBallot = Math.max(highestBallot, response.promisedBallot);
    if (responseBallot != ballot || inAcceptPhase || !response.granted) {
      return null;
    }
    if (response.acceptedBallot > highestAcceptedBallot) {
      highestAcceptedBallot = response.acceptedBallot;
      proposal = response.acceptedVoterSet;
    }
    grantedBy.add(seed);
    if (grantedBy.size() < VoterSets.majoritySize(seedCount)) {
      return null;
    }
    inAcceptPhase = true;
    grantedBy.clear();
    return proposal;
  }

  /** A seed's answer to an acceptance; the decision, once a majority has accepted. */
  VoterSet onAcceptResponse(int seed, long responseBallot, FoundingResponse response) {
    highestBallot = Math.max(highestBallot, response.promisedBallot);
    if (responseBallot != ballot || !inAcceptPhase || !response.granted) {
      return null;
    }
    grantedBy.add(seed);
    return grantedBy.size() >= VoterSets.majoritySize(seedCount) ? proposal : null;
  }
}
