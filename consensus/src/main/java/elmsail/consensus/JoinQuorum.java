package elmsail.consensus;

import elmsail.rpc.messages.JoinResponse;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects the responses to one claim of a voter slot, and decides from which instances the records
 * are copied: from N - q + 1 voting acknowledgers, or from N - q voting acknowledgers together with
 * one replaced voter whose successor doesn't vote. Uses neither time nor network.
 *
 * <p>Without the second alternative, two joins could block each other for good: if the holder of
 * one slot doesn't vote yet and the voter of a second slot is lost too, the join of each slot waits
 * for the other. Therefore both instances of one such slot may together replace one voting
 * acknowledger of a claim: the slot's new holder S (the successor), and the instance R that voted
 * in the slot right before S (the predecessor). The records are then copied from R. Let k be the
 * epoch of R, and k + 1 the epoch of S. This alternative is as safe as a voting acknowledger:
 *
 * <ul>
 *   <li>S responds that it doesn't vote, and has the claim on its disk. So S has cast no vote in
 *       this slot, and will cast no vote under a voter set without the claim.
 *   <li>R responds that it voted under k, and has the claim on its disk. R either votes no more, or
 *       still votes and acknowledges the claim as a voter. R voted only under k, and votes under no
 *       voter set that contains S. The records of R hold the result of all its votes: R drops the
 *       records only after a claim of its own is on its disk, and from then on R doesn't
 *       acknowledge as the predecessor any more. R claims another slot only after S responded that
 *       S votes. If R doesn't know S yet, the later votes of R are cast under voter sets with this
 *       claim, so they need not be copied. R learns S through the state transfer.
 *   <li>No other instance voted in the slot, and none will without knowing this claim. There is no
 *       epoch between k and k + 1. Of two instances that claim k only one can have become a voter,
 *       and R did. Suppose that an instance X claims the slot under k + 1 as a rival of S, or under
 *       a later epoch, and votes without knowing this claim, now or later. Then the claim of X has
 *       acknowledgements from N - q + 1 slots, as this claim has. Consider the N - 2 slots besides
 *       the slot of S and the slot that is claimed here. N - q voting acknowledgers of this claim
 *       are in these slots, and at least N - q acknowledgers of X; 2 (N - q) is more than N - 2. So
 *       at least one voter acknowledged both claims. That voter reported S to this join as the
 *       holder of the slot, and never returns to an older holder. So it can't have known X before
 *       this claim; and if it acknowledges X after this claim, its acknowledgement carries this
 *       claim to X.
 *   <li>Of the replaced voters, only the R that is counted this way is a source. Every other source
 *       must be a voter of the voter set that this join learned from all responses: an instance
 *       that acknowledged without knowing its successor, which votes, doesn't count.
 *   <li>Only one slot may be acknowledged this way, and all voting acknowledgers must have reported
 *       exactly S as its holder; otherwise the overlap above isn't guaranteed.
 *   <li>When S later copies its records from this instance, they contain all that was committed, as
 *       those of any voter do.
 * </ul>
 *
 * <p>This alternative doesn't help if S never comes back: only S can report that S didn't vote.
 */
final class JoinQuorum {
  private final VoterSet knownVoterSet;
  private final int required;

  /** By slot: the voter set that the voting holder sent with its acknowledgement, or null. */
  private final VoterSet[] acknowledged;

  /** By slot: whether the holder doesn't vote, and has the claim on its disk. */
  private final boolean[] recordedByHolder;

  /** By slot: whether the predecessor has the claim on its disk, and still has its records. */
  private final boolean[] recordedByPredecessor;

  /** By slot: whether the claim is to be sent to the holder, which hasn't responded yet. */
  private final boolean[] awaitingHolder;

  /** By slot: whether the claim is to be sent to the predecessor, which hasn't responded yet. */
  private final boolean[] awaitingPredecessor;

  private Voter replacedSource;

  /**
   * Creates the quorum of a claim that has no responses yet.
   *
   * @param knownVoterSet the voter set that is known when the claim is sent
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

  /** Whether the claim is to be sent to the holder of the slot, which hasn't responded yet. */
  boolean awaitsHolder(int slot) {
    return awaitingHolder[slot];
  }

  /** Whether the claim is to be sent to the slot's predecessor, which hasn't responded yet. */
  boolean awaitsPredecessor(int slot) {
    return awaitingPredecessor[slot];
  }

  /**
   * Counts the response of a slot's holder.
   *
   * @param response null if there was no response
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
   * @param response null if there was no response
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

  /** The instances to copy from; null while too few instances have acknowledged. */
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

  /** The replaced voter among the {@link #sources()}, or null; the other sources must vote. */
  Voter replacedSource() {
    return replacedSource;
  }

  /** Whether the claim can't get enough acknowledgements from the responses still awaited. */
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

  /** Whether all voting acknowledgers reported the known holder of the slot. */
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
