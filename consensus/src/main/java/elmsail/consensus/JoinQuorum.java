package elmsail.consensus;

import elmsail.rpc.messages.JoinResponse;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import java.util.ArrayList;
import java.util.List;

/**
 * The responses to one claim of a voter slot, and the decision whom to copy from: N - q + 1 voting
 * acknowledgers, or one less together with a replaced voter whose successor doesn't vote. Knows
 * neither time nor network.
 *
 * <p>A voter slot whose new holder doesn't vote yet would otherwise block a second join for good,
 * if that one's slot was lost too: each would wait for the other. In the place of one voting
 * acknowledger a claim may therefore be acknowledged by both instances of one such slot: its new
 * holder S (the successor), and the instance R that voted there right before (the predecessor); R
 * is then copied from. Why that is as good, with k the epoch of R and k + 1 that of S:
 *
 * <ul>
 *   <li>S responds that it doesn't vote, and has the claim on its disk: S has cast no vote in this
 *       slot, and will cast none under a voter set without the claim.
 *   <li>R responds that it voted under k, votes no more (or still does, and acknowledges as such),
 *       and has the claim on its disk. It voted only under k, votes under no voter set that has S,
 *       and its records hold the result of all those votes: they are dropped only behind its own
 *       claim of a slot, which is on its disk first and ends what it responds here; and it claims
 *       another slot only once S responded that it votes. If R doesn't know of S yet, its later
 *       votes are under voter sets with this claim, so they need not be copied; the state transfer
 *       lets it learn of S.
 *   <li>Nobody else voted in the slot, nor will: there is no epoch between k and k + 1; of two
 *       instances that claim k only one can have become voting, and R did. A rival of S in k + 1,
 *       or the maker of a later claim, that was voting or will be without knowing this claim had
 *       acknowledgements from N - q + 1 slots. So did this claim: N - q of them are voting in the N
 *       - 2 slots besides both, of which the rival has N - q at least, and 2 (N - q) is more than N
 *       - 2. So one voter acknowledged both. It reported only S to this join, as the holder of the
 *       slot, and never goes back: so it can't have known the rival first, and if it acknowledges
 *       the rival later, it passes this claim on with its acknowledgement.
 *   <li>Only the one that was counted so is copied from though it was replaced. Any other source
 *       must be voting under what this join learned from all responses: one that acknowledged
 *       without knowing of its successor, which votes, doesn't count.
 *   <li>For the overlap above only one slot may be acknowledged so, and all voting acknowledgers
 *       must have reported just S.
 *   <li>What S copies later from this instance has all that was committed, as from any voter.
 * </ul>
 *
 * <p>If S never comes back, this doesn't help: that it didn't vote is known to it alone.
 */
final class JoinQuorum {
  private final VoterSet knownVoterSet;
  private final int required;

  /** By slot: the voter set that the voting holder reported with its acknowledgement, or null. */
  private final VoterSet[] acknowledged;

  /** Slots whose holder doesn't vote, and has the claim on its disk. */
  private final boolean[] recordedByHolder;

  /** Slots whose predecessor has the claim on its disk, and still has its records. */
  private final boolean[] recordedByPredecessor;

  /** Slots whose holder is to be asked and hasn't responded. */
  private final boolean[] awaitingHolder;

  /** Slots whose predecessor is to be asked and hasn't responded. */
  private final boolean[] awaitingPredecessor;

  private Voter replacedSource;

  /**
   * The quorum of a claim that has no responses yet.
   *
   * @param knownVoterSet as known when the claim is sent
   * @param slot the slot that is claimed
   */
  JoinQuorum(VoterSet knownVoterSet, int slot, long ownInstanceId) {
    this.knownVoterSet = knownVoterSet;
    int voters = knownVoterSet.voters.size();
    required = VoterSets.blockingSize(voters);
    acknowledged = new VoterSet[voters];
    recordedByHolder = new boolean[voters];
    recordedByPredecessor = new boolean[voters];
    awaitingHolder = new boolean[voters];
    awaitingPredecessor = new boolean[voters];
    for (int i = 0; i < voters; i++) {
      Voter voter = knownVoterSet.voters.get(i);
      awaitingHolder[i] = i != slot && VoterSets.isCounted(knownVoterSet, i);
      awaitingPredecessor[i] =
          awaitingHolder[i]
              && voter.previousInstanceId != 0
              && voter.previousInstanceId != ownInstanceId
              && !voter.previousAddress.equals(voter.address);
    }
  }

  /** Whether the holder of the slot is to be asked, and hasn't responded. */
  boolean awaitsHolder(int slot) {
    return awaitingHolder[slot];
  }

  /** Whether the predecessor of the slot's holder is to be asked, and hasn't responded. */
  boolean awaitsPredecessor(int slot) {
    return awaitingPredecessor[slot];
  }

  /**
   * Counts the response of a slot's holder.
   *
   * @param response null if there was none
   */
  void onHolderResponse(int slot, JoinResponse response) {
    awaitingHolder[slot] = false;
    if (response == null || response.voterSet.voters.size() != knownVoterSet.voters.size()) {
      return;
    }
    Voter holderAtResponder = response.voterSet.voters.get(slot);
    if (response.accepted) {
      acknowledged[slot] = response.voterSet;
    } else {
      recordedByHolder[slot] =
          response.recorded
              && response.instanceId == holderAtResponder.instanceId
              && VoterSets.areEqual(holderAtResponder, knownVoterSet.voters.get(slot));
    }
  }

  /**
   * Counts the response of the predecessor of a slot's holder.
   *
   * @param response null if there was none
   */
  void onPredecessorResponse(int slot, JoinResponse response) {
    awaitingPredecessor[slot] = false;
    Voter holder = knownVoterSet.voters.get(slot);
    if (response == null
        || response.voterSet.voters.size() != knownVoterSet.voters.size()
        || response.instanceId != holder.previousInstanceId) {
      return;
    }
    Voter holderAtResponder = response.voterSet.voters.get(slot);
    boolean voting =
        response.accepted
            && holderAtResponder.instanceId == holder.previousInstanceId
            && holderAtResponder.epoch == holder.previousEpoch;
    recordedByPredecessor[slot] =
        voting
            || response.recorded
                && response.replaced
                && VoterSets.areEqual(holderAtResponder, holder);
  }

  /** The instances to copy from; null as long as too few acknowledged. */
  List<Voter> sources() {
    List<Voter> sources = new ArrayList<>();
    for (int i = 0; i < acknowledged.length; i++) {
      if (acknowledged[i] != null) {
        sources.add(acknowledged[i].voters.get(i));
      }
    }
    for (int i = 0; i < acknowledged.length && sources.size() == required - 1; i++) {
      if (recordedByHolder[i] && recordedByPredecessor[i] && acknowledgersAgreeOn(i)) {
        Voter holder = knownVoterSet.voters.get(i);
        Voter predecessor = new Voter();
        predecessor.address = holder.previousAddress;
        predecessor.instanceId = holder.previousInstanceId;
        predecessor.epoch = holder.previousEpoch;
        sources.add(predecessor);
        replacedSource = predecessor;
      }
    }
    return sources.size() >= required ? sources : null;
  }

  /** The one of the {@link #sources()} that was replaced, or null; the others must still vote. */
  Voter replacedSource() {
    return replacedSource;
  }

  /** Whether the responses that are still awaited can't be enough. */
  boolean isUnattainable() {
    int possible = 0;
    boolean pairPossible = false;
    boolean awaitingAny = false;
    for (int i = 0; i < awaitingHolder.length; i++) {
      awaitingAny |= awaitingHolder[i] || awaitingPredecessor[i];
      if (awaitingHolder[i] || acknowledged[i] != null) {
        possible++;
      } else if (recordedByHolder[i] && (awaitingPredecessor[i] || recordedByPredecessor[i])) {
        pairPossible = true;
      }
    }
    return !awaitingAny || possible + (pairPossible ? 1 : 0) < required;
  }

  /** Whether all voting acknowledgers reported just this holder of the slot. */
  private boolean acknowledgersAgreeOn(int slot) {
    for (VoterSet known : acknowledged) {
      if (known != null
          && !VoterSets.areEqual(known.voters.get(slot), knownVoterSet.voters.get(slot))) {
        return false;
      }
    }
    return true;
  }
}
