package elmsail.controlplane;

import elmsail.consensus.VoterSets;
import elmsail.rpc.messages.FoundingResponse;
import elmsail.rpc.messages.VoterSet;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * One seed's proposer in the agreement on the initial control-plane voters: single-decree Paxos.
 * Does no I/O; responses to earlier rounds are ignored.
 */
final class BootstrapProposer {
  /**
   * A ballot modulo this number is the proposing seed's index, so ballots of different seeds
   * differ.
   */
  private static final int MAX_SEEDS = 64;

  private static final long MAX_FIRST_ROUND = 1L << 40;

  private final int seedCount;
  private final int localSeedIndex;
  private final Set<Integer> grantedBy = new HashSet<>();
  private long highestBallot;
  private long ballot;
  private VoterSet proposal;
  private long highestAcceptedBallot;
  private boolean inAcceptPhase;

  /**
   * Creates the proposer of one seed.
   *
   * @param localSeedIndex its index among all seeds
   * @param processId differs between the processes that run on one machine after each other, so
   *     that no two of them use the same ballot: a seed grants a ballot repeatedly
   */
  BootstrapProposer(int seedCount, int localSeedIndex, long processId) {
    this.seedCount = seedCount;
    this.localSeedIndex = localSeedIndex;
    highestBallot = Math.floorMod(processId, MAX_FIRST_ROUND) * MAX_SEEDS;
  }

  /** Starts a round with a ballot above all ballots seen so far; returns the ballot to prepare. */
  long startRound(VoterSet candidateVoterSet) {
    ballot = (highestBallot / MAX_SEEDS + 1) * MAX_SEEDS + localSeedIndex;
    highestBallot = ballot;
    proposal = candidateVoterSet;
    highestAcceptedBallot = 0;
    inAcceptPhase = false;
    grantedBy.clear();
    return ballot;
  }

  /** Whether that phase of that ballot is under way and the seed has not granted its request. */
  boolean awaitsGrant(int seed, long requestBallot, boolean accept) {
    return requestBallot == ballot && accept == inAcceptPhase && !grantedBy.contains(seed);
  }

  /**
   * Counts a seed's response to prepare.
   *
   * @return the proposal to be accepted once a majority has promised: the voter set accepted in the
   *     highest ballot, or else the candidate voter set of this round; empty before
   */
  Optional<VoterSet> onPrepareResponse(int seed, long responseBallot, FoundingResponse response) {
    highestBallot = Math.max(highestBallot, response.promisedBallot);
    if (responseBallot != ballot || inAcceptPhase || !response.granted) {
      return Optional.empty();
    }
    if (response.acceptedBallot > highestAcceptedBallot) {
      highestAcceptedBallot = response.acceptedBallot;
      proposal = response.acceptedVoterSet;
    }
    grantedBy.add(seed);
    if (grantedBy.size() < VoterSets.majoritySize(seedCount)) {
      return Optional.empty();
    }
    inAcceptPhase = true;
    grantedBy.clear();
    return Optional.of(proposal);
  }

  /**
   * Counts a seed's response to accept; returns the voter set once it is agreed on, empty before.
   */
  Optional<VoterSet> onAcceptResponse(int seed, long responseBallot, FoundingResponse response) {
    highestBallot = Math.max(highestBallot, response.promisedBallot);
    if (responseBallot != ballot || !inAcceptPhase || !response.granted) {
      return Optional.empty();
    }
    grantedBy.add(seed);
    boolean isAgreed = grantedBy.size() >= VoterSets.majoritySize(seedCount);
    return isAgreed ? Optional.of(proposal) : Optional.empty();
  }
}
