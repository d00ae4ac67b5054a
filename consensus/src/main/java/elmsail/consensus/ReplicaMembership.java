package elmsail.consensus;

import elmsail.rpc.messages.JoinRequest;
import elmsail.rpc.messages.JoinResponse;
import elmsail.rpc.messages.VoteResponse;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;

/**
 * What one instance knows of its set's voter slots, and whether it votes. Decides without time,
 * network or disk: whatever changes here must be on disk before a response that relies on it
 * leaves. Used on the replica's event loop.
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
 * <p>Idle or replaced becomes joining by {@link #claim}; joining becomes voting by {@link
 * #caughtUpEpoch(int)} after the state transfer, or at once for an initial voter, which never voted
 * before; voting becomes replaced, and joining idle, when a higher epoch of the slot is learned. A
 * vote under an older voter set is impossible in each state, as {@link #voteCode} compares the
 * request's voter set with the known one.
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
   * The state as it was read from disk.
   *
   * @param voterSet without voters if none is known
   * @param caughtUpEpoch 0 if this instance neither is an initial voter nor completed a join
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

  /** Whether a slot names this instance under the epoch under which it caught up. */
  boolean isVoting() {
    int slot = ownSlot();
    return slot >= 0 && caughtUpEpoch > 0 && voterSet.voters.get(slot).epoch == caughtUpEpoch;
  }

  /** Whether a slot names this instance, and it has not caught up yet. */
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

  /** The state transfer for this epoch is complete, or this instance is an initial voter. */
  void caughtUpEpoch(int epoch) {
    caughtUpEpoch = epoch;
    confirmOwnVoter();
  }

  /** Marks the own voter as confirmed, so that it supersedes a rival of the same epoch. */
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

  /** Whether the claim is of another host's slot: it yields to any rival of the same epoch. */
  boolean joiningAsSpare() {
    return joiningAsSpare;
  }

  void joiningAsSpare(boolean joiningAsSpare) {
    this.joiningAsSpare = joiningAsSpare;
  }

  /**
   * The voter slot whose holder names this instance, which voted there, as its predecessor; or -1.
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

  /** Merges a voter set; returns whether anything changed, which must then be written. */
  boolean learn(VoterSet received) {
    VoterSet merged = VoterSets.merge(voterSet, received);
    boolean changed = merged != voterSet;
    voterSet = merged;
    return changed;
  }

  /** Whether this instance is an initial voter that was not confirmed: there is nothing to copy. */
  boolean isInitialVoter() {
    int slot = ownSlot();
    return slot >= 0 && voterSet.voters.get(slot).epoch == 1 && caughtUpEpoch == 0;
  }

  /**
   * Whether this instance may vote on a request, by the request's voter set, which was learned
   * before if it is newer.
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

  /** What becomes of another instance's claim. Never stored or sent. */
  enum ClaimDecision {
    /** Adopted by a voting instance: acknowledged once it is written. */
    ADOPTED,
    /** A voting instance knows this claim already: acknowledged too. */
    ALREADY_ADOPTED,
    /** Known from now on, but this instance doesn't vote: see {@link JoinQuorum}. */
    RECORDED,
    /** A higher epoch is known, or this instance is in no position to acknowledge. */
    REFUSED
  }

  /**
   * Decides on a claim. The response is sent, with the voter set, once what changed here is on
   * disk.
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
   * @param code that a vote would get, see {@link #voteCode}
   * @param allowReplaced whether a replaced instance will do
   */
  boolean servesTransfer(int code, boolean allowReplaced) {
    return code == VoteResponse.OK
        || code == VoteResponse.NOT_A_VOTER && allowReplaced && isReplaced();
  }

  /**
   * Records a claim. It is acknowledged only by a voting instance, whose records are complete, and
   * only above the known epoch: of two claims of one epoch only one can get enough
   * acknowledgements.
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

  /** Makes this instance claim a slot under an epoch, which ends its voting; returns the claim. */
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

  /** Whether an earlier instance of this host holds another voter slot than this one. */
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

  /** Gives up a claim in favour of another instance's of the same epoch. */
  void yieldTo(int slot, Voter rival) {
    voterSet = VoterSets.withVoter(voterSet, slot, rival);
    joiningAsSpare = false;
  }

  /**
   * The voter slot of an earlier instance of this host; -1 if there is none or this one has one.
   */
  int formerSlot() {
    return ownSlot() >= 0 ? -1 : VoterSets.slotOfHost(voterSet, address, machine);
  }
}
