package elmsail.consensus;

import elmsail.rpc.messages.JoinRequest;
import elmsail.rpc.messages.JoinResponse;
import elmsail.rpc.messages.VoteResponse;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;

/**
 * The voter set that one instance knows, and whether the instance votes. Uses neither time nor
 * network nor disk; the caller must write each change to disk before it sends a response that
 * depends on the change. Used on the replica's event loop.
 *
 * <p>An instance is in one of these states:
 *
 * <ul>
 *   <li><em>idle</em>: no slot of the known voter set names it.
 *   <li><em>joining</em> ({@link #isJoining()}): a slot names it under an epoch whose state
 *       transfer it has not completed. It casts no vote.
 *   <li><em>voting</em> ({@link #isVoting()}): a slot names it under the epoch of {@link
 *       #caughtUpEpoch()}.
 *   <li><em>replaced</em> ({@link #isReplaced()}): it voted, and its slot names another instance
 *       under the next epoch. It casts no vote, but its records are still those of a voter.
 * </ul>
 *
 * <p>An idle or replaced instance becomes joining by {@link #claim}. A joining instance becomes
 * voting by {@link #caughtUpEpoch(int)} after the state transfer; an initial voter, which never
 * voted before, does so at once. When a higher epoch of its slot is learned, a voting instance
 * becomes replaced, and a joining instance becomes idle. No state allows a vote under an older
 * voter set, as {@link #voteCode} compares the request's voter set with the known one.
 */
final class ReplicaMembership {
  private final String address;
  private final String machine;
  private final long instanceId;
  private VoterSet voterSet;

  /** The epoch under which this instance is an initial voter or completed its join; 0: none. */
  private int caughtUpEpoch;

  private boolean joiningAsSpare;

  /**
   * Creates the membership from the state on disk.
   *
   * @param voterSet without voters if none is known
   * @param caughtUpEpoch see {@link #caughtUpEpoch()}
   */
  ReplicaMembership(
      String address, String machine, long instanceId, VoterSet voterSet, int caughtUpEpoch) {
    this.address = address;
    this.machine = machine;
    this.instanceId = instanceId;
    this.voterSet = voterSet;
    this.caughtUpEpoch = caughtUpEpoch;
    confirmOwnVoter();
  }

  VoterSet voterSet() {
    return voterSet;
  }

  long instanceId() {
    return instanceId;
  }

  /** Whether a slot names this instance under its {@link #caughtUpEpoch()}. */
  boolean isVoting() {
    int slot = ownSlot();
    return slot >= 0 && caughtUpEpoch > 0 && voterSet.voters.get(slot).epoch == caughtUpEpoch;
  }

  /** Whether a slot names this instance under an epoch whose join is not complete. */
  boolean isJoining() {
    return !isVoting() && ownSlot() >= 0;
  }

  /** The voter slot that names this instance, or -1. */
  int ownSlot() {
    return VoterSets.slotOfInstance(voterSet, instanceId);
  }

  /** The epoch under which this instance is an initial voter or completed its join; 0: none. */
  int caughtUpEpoch() {
    return caughtUpEpoch;
  }

  /**
   * Sets the {@link #caughtUpEpoch()}: the state transfer for this epoch is complete, or this
   * instance is an initial voter.
   */
  void caughtUpEpoch(int epoch) {
    caughtUpEpoch = epoch;
    confirmOwnVoter();
  }

  /** Marks the voter of this instance as confirmed, to supersede a rival of the same epoch. */
  private void confirmOwnVoter() {
    if (!isVoting()) {
      return;
    }
    int slot = ownSlot();
    Voter known = voterSet.voters.get(slot);
    Voter holder = new Voter();
    holder.address = known.address;
    holder.machine = known.machine;
    holder.instanceId = known.instanceId;
    holder.epoch = known.epoch;
    holder.previousAddress = known.previousAddress;
    holder.previousInstanceId = known.previousInstanceId;
    holder.previousEpoch = known.previousEpoch;
    holder.confirmed = true;
    voterSet = VoterSets.withVoter(voterSet, slot, holder);
  }

  /**
   * Whether this instance claims the slot of another host. Such a claim yields to any rival claim
   * of the same epoch.
   */
  boolean joiningAsSpare() {
    return joiningAsSpare;
  }

  void joiningAsSpare(boolean joiningAsSpare) {
    this.joiningAsSpare = joiningAsSpare;
  }

  /**
   * The voter slot in which this instance voted and whose holder names it as the predecessor; or
   * -1.
   */
  int replacedSlot() {
    if (caughtUpEpoch == 0 || ownSlot() >= 0) {
      return -1;
    }
    for (int i = 0; i < voterSet.voters.size(); i++) {
      Voter voter = voterSet.voters.get(i);
      if (voter.previousInstanceId == instanceId && voter.previousEpoch == caughtUpEpoch) {
        return i;
      }
    }
    return -1;
  }

  /** Whether this instance voted, and was replaced by another in its slot. */
  boolean isReplaced() {
    return replacedSlot() >= 0;
  }

  /** Merges a voter set; returns whether the known voter set changed and must be written. */
  boolean learn(VoterSet received) {
    VoterSet merged = VoterSets.merge(voterSet, received);
    boolean changed = merged != voterSet;
    voterSet = merged;
    return changed;
  }

  /** Whether this instance is an initial voter that has not voted yet: there is nothing to copy. */
  boolean isInitialVoter() {
    int slot = ownSlot();
    return slot >= 0 && voterSet.voters.get(slot).epoch == 1 && caughtUpEpoch == 0;
  }

  /**
   * Whether this instance may vote on a request with this voter set. If the request's voter set is
   * newer than the known one, the caller merges it ({@link #learn}) before this call.
   *
   * @return {@link VoteResponse#OK}, {@link VoteResponse#STALE_VOTER_SET} or {@link
   *     VoteResponse#NOT_A_VOTER}
   */
  int voteCode(VoterSet requestVoterSet) {
    if (VoterSets.isNewer(voterSet, requestVoterSet)
        || requestVoterSet.voters.size() != voterSet.voters.size()) {
      return VoteResponse.STALE_VOTER_SET;
    }
    return isVoting() ? VoteResponse.OK : VoteResponse.NOT_A_VOTER;
  }

  /** The decision on another instance's claim. Never stored or sent. */
  enum ClaimDecision {
    /** Adopted by a voting instance, which acknowledges the claim when it is on disk. */
    ADOPTED,
    /** Already known to this voting instance, which acknowledges the claim again. */
    ALREADY_ADOPTED,
    /** Recorded by an instance that doesn't vote; see {@link JoinQuorum}. */
    RECORDED,
    /**
     * Refused: the same or a higher epoch is known, or this instance may not acknowledge the claim.
     * Also the decision on a new claim of this instance's own slot while it votes: the claim is
     * recorded in the voter set, so that this instance stops voting, but the claim is not
     * acknowledged.
     */
    REFUSED
  }

  /**
   * Decides on a claim. The caller adds the voter set, and sends the response when the changes made
   * here are on disk.
   */
  JoinResponse respond(JoinRequest request) {
    ClaimDecision decision = recordClaim(request);
    JoinResponse response = new JoinResponse();
    response.instanceId = instanceId;
    response.voting = isVoting();
    response.accepted =
        decision == ClaimDecision.ADOPTED || decision == ClaimDecision.ALREADY_ADOPTED;
    response.recorded = decision == ClaimDecision.RECORDED;
    response.replaced = response.recorded && isReplaced();
    return response;
  }

  /**
   * Whether a joining instance may copy records from here.
   *
   * @param code the code that a vote would get, see {@link #voteCode}
   * @param allowReplaced whether the joining instance accepts a replaced instance as its source
   */
  boolean servesTransfer(int code, boolean allowReplaced) {
    return code == VoteResponse.OK
        || code == VoteResponse.NOT_A_VOTER && allowReplaced && isReplaced();
  }

  /**
   * Records a claim. Only a voting instance acknowledges a claim, as its records are complete. A
   * new claim must have a higher epoch than the known voter of the slot. Therefore, if two
   * instances claim a slot under the same epoch, at most one of them gets enough acknowledgements.
   */
  ClaimDecision recordClaim(JoinRequest request) {
    boolean voting = isVoting();
    boolean joining = !voting && ownSlot() >= 0;
    if (request.slot < 0
        || request.slot >= voterSet.voters.size()
        || joining && request.slot == ownSlot()
        || !voting && !joining && !isReplaced()) {
      return ClaimDecision.REFUSED;
    }
    Voter known = voterSet.voters.get(request.slot);
    if (VoterSets.areEqual(known, request.voter)) {
      return request.voter.instanceId == instanceId
          ? ClaimDecision.REFUSED
          : voting ? ClaimDecision.ALREADY_ADOPTED : ClaimDecision.RECORDED;
    }
    int slotOfClaimant = VoterSets.slotOfInstance(voterSet, request.voter.instanceId);
    if (request.voter.epoch <= known.epoch
        || slotOfClaimant >= 0 && slotOfClaimant != request.slot) {
      return ClaimDecision.REFUSED;
    }
    boolean ownSlotTaken = request.slot == ownSlot();
    voterSet = VoterSets.withVoter(voterSet, request.slot, request.voter);
    return ownSlotTaken
        ? ClaimDecision.REFUSED
        : voting ? ClaimDecision.ADOPTED : ClaimDecision.RECORDED;
  }

  /** Makes this instance claim a slot under an epoch and stop voting; returns the claim. */
  Voter claim(int slot, int epoch) {
    Voter holder = new Voter();
    holder.address = address;
    holder.machine = machine;
    holder.instanceId = instanceId;
    holder.epoch = epoch;
    Voter known = voterSet.voters.get(slot);
    if (known.instanceId == instanceId && known.epoch == epoch) {
      holder.previousAddress = known.previousAddress;
      holder.previousInstanceId = known.previousInstanceId;
      holder.previousEpoch = known.previousEpoch;
    } else if (known.instanceId != instanceId && known.epoch == epoch - 1) {
      holder.previousAddress = known.address;
      holder.previousInstanceId = known.instanceId;
      holder.previousEpoch = known.epoch;
    }
    voterSet = VoterSets.withVoter(voterSet, slot, holder);
    caughtUpEpoch = 0;
    return holder;
  }

  /** Whether an earlier instance of this host holds a voter slot other than this slot. */
  boolean hostHoldsOtherSlot(int slot) {
    for (int i = 0; i < voterSet.voters.size(); i++) {
      Voter holder = voterSet.voters.get(i);
      if (i != slot
          && holder.instanceId != instanceId
          && VoterSets.isOnHost(holder, address, machine)) {
        return true;
      }
    }
    return false;
  }

  /** Gives up a claim in favour of another instance's claim of the same epoch. */
  void yieldTo(int slot, Voter rival) {
    voterSet = VoterSets.withVoter(voterSet, slot, rival);
    joiningAsSpare = false;
  }

  /**
   * The voter slot of an earlier instance of this host; -1 if there is none, or if a slot names
   * this instance.
   */
  int formerSlot() {
    return ownSlot() >= 0 ? -1 : VoterSets.slotOfHost(voterSet, address, machine);
  }
}
