package elmsail.consensus;

import elmsail.rpc.messages.JoinRequest;
import elmsail.rpc.messages.JoinResponse;
import elmsail.rpc.messages.VoteResponse;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;

/**
 * What one process knows of a set's voter slots, and whether it votes: decisions only, without
 * time, network or disk. Whatever is adopted here must be on disk before any answer that relies on
 * it leaves.
 */
final class ReplicaMembership {
  private final String address;
  private final String machine;
  private final long instanceId;
  private VoterSet voterSet;

  /** The epoch with which this instance was founded, or has copied all that it had to; 0: none. */
  private int caughtUpEpoch;

  private boolean joiningAsSpare;

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

  /** Votes: its own instance holds a voter slot, and has caught up under just that epoch. */
  boolean isVoting() {
    int slot = ownSlot();
    return slot >= 0 && caughtUpEpoch > 0 && voterSet.voters.get(slot).epoch == caughtUpEpoch;
  }

  /** Whether this instance claims a voter slot, and has not caught up yet. */
  boolean isJoining() {
    return !isVoting() && ownSlot() >= 0;
  }

  /** The voter slot that this instance holds or is claiming, or -1. */
  int ownSlot() {
    return VoterSets.slotOfInstance(voterSet, instanceId);
  }

  int caughtUpEpoch() {
    return caughtUpEpoch;
  }

  void caughtUpEpoch(int epoch) {
    caughtUpEpoch = epoch;
    confirmOwnVoter();
  }

  /** Tells that this life votes, so that no other claim of the same epoch is taken for right. */
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
   * Whether the claim under way is of another's voter slot: it leaves that to a rival of the same
   * epoch.
   */
  boolean joiningAsSpare() {
    return joiningAsSpare;
  }

  void joiningAsSpare(boolean joiningAsSpare) {
    this.joiningAsSpare = joiningAsSpare;
  }

  /**
   * The voter slot whose present holder names this instance, which was voting there, as the one
   * before; or -1.
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

  /** Has whole records of votes that count, but casts none any more. */
  boolean isReplaced() {
    return replacedSlot() >= 0;
  }

  /** True if something was newer: it is to be written. */
  boolean learn(VoterSet received) {
    VoterSet merged = VoterSets.merge(voterSet, received);
    boolean changed = merged != voterSet;
    voterSet = merged;
    return changed;
  }

  /** Whether this instance sits by the founding: never voted, so nothing to catch up with. */
  boolean isInitialVoter() {
    int slot = ownSlot();
    return slot >= 0 && voterSet.voters.get(slot).epoch == 1 && caughtUpEpoch == 0;
  }

  /** VoteResponse.DONE if an ask under that voter set, which was learnt before, may be voted on. */
  int voteCode(VoterSet requestVoterSet) {
    if (VoterSets.isNewer(voterSet, requestVoterSet)
        || requestVoterSet.voters.size() != voterSet.voters.size()) {
      return VoteResponse.STALE_VOTER_SET;
    }
    return isVoting() ? VoteResponse.OK : VoteResponse.NOT_A_VOTER;
  }

  /** What becomes of another's claim. */
  enum ClaimDecision {
    /** Adopted: acknowledged once it is written. */
    ADOPTED,
    /** The very same claim is known already. */
    ALREADY_ADOPTED,
    /** ClusterState here from now on, but this instance isn't voting: see {@link ReplicaJoin}. */
    RECORDED,
    /** Outbid, or this one is in no position to acknowledge. */
    REFUSED
  }

  /** To be told, with the voter set, once what it changed here is on disk. */
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
   * Whether a newcomer may copy from here, where a vote is answered so; a replaced holder may do.
   */
  boolean servesTransfer(int code, boolean allowReplaced) {
    return code == VoteResponse.OK
        || code == VoteResponse.NOT_A_VOTER && allowReplaced && isReplaced();
  }

  /**
   * A claim counts only from a voting holder, whose records are whole, and only above the epoch
   * known: of two claims of one epoch just one can be acknowledged by enough.
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

  /** This instance's own claim of a voter slot: taken over here first, and not voting. */
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

  /** Whether an earlier instance of this place holds another voter slot than the claimed one. */
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

  /** Gives up a claim for another's of the same epoch. */
  void yieldTo(int slot, Voter rival) {
    voterSet = VoterSets.withVoter(voterSet, slot, rival);
    joiningAsSpare = false;
  }

  /** A voter slot of this place that another instance of it held, or -1. */
  int formerSlot() {
    return ownSlot() >= 0 ? -1 : VoterSets.slotOfHost(voterSet, address, machine);
  }
}
