package elmsail.consensus;

import elmsail.rpc.messages.JoinResponse;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import java.util.ArrayList;
import java.util.List;

/**
 * What the holders answered to one claim, and whom to copy from: N - q + 1 voting ones, or one less
 * and a replaced one whose successor isn't voting. Without time or network.
 *
 * <p>A voter slot whose new holder isn't voting yet would otherwise be in the way of a second
 * newcomer for good, if that one's voter slot was lost too: each would wait for the other. In the
 * place of one voting holder, a claim is therefore also acknowledged by one such voter slot's two
 * instances together: its new holder S, and the one R that was voting there right before; and R is
 * copied from. Why that is as good, let k be the epoch of R and k + 1 that of S:
 *
 * <ul>
 *   <li>S answers that it isn't voting, and has the claim on its disk: S has cast no vote in this
 *       voter slot, and will cast none under a voter set without the claim.
 *   <li>R answers that it was voting under k, is voting no more (or is, and acknowledges as such),
 *       and has the claim on its disk. It voted only under k, votes under no voter set that has S,
 *       and its records are all that those votes made: they are dropped only behind its own claim
 *       of a voter slot, which is on its disk first and ends what it answers here; and it claims
 *       another voter slot only once S told that it votes. If R doesn't know of S yet, its later
 *       votes are under voter sets with this claim, so they needn't be copied; the copying makes it
 *       learn of S.
 *   <li>Nobody else voted in the voter slot, nor will: there is no epoch between k and k + 1; of
 *       two instances that claim k only one can be voting, and R was. A rival of S in k + 1, or
 *       whoever claims a later one, that was voting or will be without knowing this claim had
 *       acknowledgements from N - q + 1 voter slots. So did this claim: N - q of these are voting
 *       holders in the N - 2 voter slots besides both, where the other has N - q at least, and 2 (N
 *       - q) is more than N - 2. One of them thus knew both; it told this newcomer only of S, which
 *       it knew to hold the voter slot, and never goes back: so it can't have known the rival
 *       first, and acknowledges none later but telling this claim along with it.
 *   <li>Only the one that was counted so is copied from though it is replaced. Any other source
 *       must be voting under what this newcomer learnt from all answers: one that acknowledged
 *       without knowing of its successor, which votes, doesn't count.
 *   <li>For that overlap only one voter slot may be acknowledged so, and all who are voting must
 *       have told of just S.
 *   <li>What S copies later from this newcomer has all that was decided, as from any that is
 *       voting.
 * </ul>
 *
 * If S is gone for good, this doesn't help: that it didn't vote is known to it alone.
 */
final class JoinQuorum {
  private final VoterSet knownVoterSet;
  private final int required;

  /** As told by voting ones that hold the claim. */
  private final VoterSet[] acknowledged;

  /** Voter slots whose holder isn't voting, and has the claim on its disk. */
  private final boolean[] recordedByHolder;

  /** Voter slots whose replaced holder has the claim on its disk, and its records. */
  private final boolean[] recordedByPredecessor;

  private final boolean[] awaitingHolder;
  private final boolean[] awaitingPredecessor;
  private Voter replacedSource;

  /**
   * @param knownVoterSet as known when the claim is sent
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
      Voter one = knownVoterSet.voters.get(i);
      awaitingHolder[i] = i != slot && VoterSets.isCounted(knownVoterSet, i);
      awaitingPredecessor[i] =
          awaitingHolder[i]
              && one.previousInstanceId != 0
              && one.previousInstanceId != ownInstanceId
              && !one.previousAddress.equals(one.address);
    }
  }

  /** Whether the voter slot's holder is to be asked, and hasn't answered. */
  boolean awaitsHolder(int slot) {
    return awaitingHolder[slot];
  }

  /** Whether the one before the voter slot's holder is to be asked, and hasn't answered. */
  boolean awaitsPredecessor(int slot) {
    return awaitingPredecessor[slot];
  }

  /**
   * @param response by the voter slot's holder; null: it didn't answer
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
   * @param response by the one before; null: it didn't answer
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

  /** Null as long as too few acknowledged. */
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

  /**
   * Which of the {@link #sources()} is a replaced holder, or null; the others must be voting still.
   */
  Voter replacedSource() {
    return replacedSource;
  }

  /** Whether the answers that are still open can't be enough. */
  boolean isUnattainable() {
    int possible = 0;
    boolean pair = false;
    boolean awaitingAny = false;
    for (int i = 0; i < awaitingHolder.length; i++) {
      awaitingAny |= awaitingHolder[i] || awaitingPredecessor[i];
      if (awaitingHolder[i] || acknowledged[i] != null) {
        possible++;
      } else if (recordedByHolder[i] && (awaitingPredecessor[i] || recordedByPredecessor[i])) {
        pair = true;
      }
    }
    return !awaitingAny || possible + (pair ? 1 : 0) < required;
  }

  /** Whether all who acknowledged know just that claim of the voter slot. */
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
