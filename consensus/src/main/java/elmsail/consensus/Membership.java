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
final class Membership {
  private final String address;
  private final String station;
  private final long instanceId;
  private VoterSet voterSet;

  /** The epoch with which this instance was founded, or has copied all that it had to; 0: none. */
  private int caughtUp;

  private boolean spare;

  Membership(String address, String station, long instanceId, VoterSet voterSet, int caughtUp) {
    this.address = address;
    this.station = station;
    this.instanceId = instanceId;
    this.voterSet = voterSet;
    this.caughtUp = caughtUp;
    confirm();
  }

  VoterSet voterSet() {
    return voterSet;
  }

  long instanceId() {
    return instanceId;
  }

  /** Votes: its own instance holds a voter slot, and has caught up under just that epoch. */
  boolean voting() {
    int slot = ownSlot();
    return slot >= 0 && caughtUp > 0 && voterSet.voters.get(slot).epoch == caughtUp;
  }

  /** Whether this instance claims a voter slot, and has not caught up yet. */
  boolean joining() {
    return !voting() && ownSlot() >= 0;
  }

  /** The voter slot that this instance holds or is claiming, or -1. */
  int ownSlot() {
    return VoterSets.ofInstance(voterSet, instanceId);
  }

  int caughtUp() {
    return caughtUp;
  }

  void caughtUp(int epoch) {
    caughtUp = epoch;
    confirm();
  }

  /** Tells that this life votes, so that no other claim of the same epoch is taken for right. */
  private void confirm() {
    if (!voting()) {
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
    voterSet = VoterSets.with(voterSet, slot, holder);
  }

  /**
   * Whether the claim under way is of another's voter slot: it leaves that to a rival of the same
   * epoch.
   */
  boolean spare() {
    return spare;
  }

  void spare(boolean is) {
    spare = is;
  }

  /**
   * The voter slot whose present holder names this instance, which was voting there, as the one
   * before; or -1.
   */
  int replacedSlot() {
    if (caughtUp == 0 || ownSlot() >= 0) {
      return -1;
    }
    for (int i = 0; i < voterSet.voters.size(); i++) {
      Voter slot = voterSet.voters.get(i);
      if (slot.previousInstanceId == instanceId && slot.previousEpoch == caughtUp) {
        return i;
      }
    }
    return -1;
  }

  /** Has whole records of votes that count, but casts none any more. */
  boolean replaced() {
    return replacedSlot() >= 0;
  }

  /** True if something was newer: it is to be written. */
  boolean learn(VoterSet response) {
    VoterSet merged = VoterSets.merge(voterSet, response);
    boolean changed = merged != voterSet;
    voterSet = merged;
    return changed;
  }

  /** Whether this instance sits by the founding: never voted, so nothing to catch up with. */
  boolean founded() {
    int slot = ownSlot();
    return slot >= 0 && voterSet.voters.get(slot).epoch == 1 && caughtUp == 0;
  }

  /** VoteResponse.DONE if an ask under that voter set, which was learnt before, may be voted on. */
  int vote(VoterSet asked) {
    if (VoterSets.newer(voterSet, asked) || asked.voters.size() != voterSet.voters.size()) {
      return VoteResponse.STALE_VOTER_SET;
    }
    return voting() ? VoteResponse.OK : VoteResponse.NOT_A_VOTER;
  }

  /** What becomes of another's claim. */
  enum Claimed {
    /** Adopted: acknowledged once it is written. */
    ADOPTED,
    /** The very same claim is known already. */
    KNOWN,
    /** ClusterState here from now on, but this instance isn't voting: see {@link ReplicaJoin}. */
    NOTED,
    /** Outbid, or this one is in no position to acknowledge. */
    REFUSED
  }

  /** To be told, with the voter set, once what it changed here is on disk. */
  JoinResponse answer(JoinRequest request) {
    Claimed joined = join(request);
    JoinResponse response = new JoinResponse();
    response.instanceId = instanceId;
    response.voting = voting();
    response.accepted = joined == Claimed.ADOPTED || joined == Claimed.KNOWN;
    response.recorded = joined == Claimed.NOTED;
    response.replaced = response.recorded && replaced();
    return response;
  }

  /**
   * Whether a newcomer may copy from here, where a vote is answered so; a replaced holder may do.
   */
  boolean serves(int code, boolean ofReplaced) {
    return code == VoteResponse.OK || code == VoteResponse.NOT_A_VOTER && ofReplaced && replaced();
  }

  /**
   * A claim counts only from a voting holder, whose records are whole, and only above the epoch
   * known: of two claims of one epoch just one can be acknowledged by enough.
   */
  Claimed join(JoinRequest request) {
    boolean votes = voting();
    boolean joining = !votes && ownSlot() >= 0;
    if (request.slot < 0
        || request.slot >= voterSet.voters.size()
        || joining && request.slot == ownSlot()
        || !votes && !joining && !replaced()) {
      return Claimed.REFUSED;
    }
    Voter known = voterSet.voters.get(request.slot);
    if (VoterSets.same(known, request.voter)) {
      return request.voter.instanceId == instanceId
          ? Claimed.REFUSED
          : votes ? Claimed.KNOWN : Claimed.NOTED;
    }
    int other = VoterSets.ofInstance(voterSet, request.voter.instanceId);
    if (request.voter.epoch <= known.epoch || other >= 0 && other != request.slot) {
      return Claimed.REFUSED;
    }
    boolean own = request.slot == ownSlot();
    voterSet = VoterSets.with(voterSet, request.slot, request.voter);
    return own ? Claimed.REFUSED : votes ? Claimed.ADOPTED : Claimed.NOTED;
  }

  /** This instance's own claim of a voter slot: taken over here first, and not voting. */
  Voter take(int slot, int epoch) {
    Voter holder = new Voter();
    holder.address = address;
    holder.machine = station;
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
    voterSet = VoterSets.with(voterSet, slot, holder);
    caughtUp = 0;
    return holder;
  }

  /** Whether an earlier instance of this place holds another voter slot than the claimed one. */
  boolean placeHoldsOther(int slot) {
    for (int i = 0; i < voterSet.voters.size(); i++) {
      Voter holder = voterSet.voters.get(i);
      if (i != slot
          && holder.instanceId != instanceId
          && VoterSets.isOf(holder, address, station)) {
        return true;
      }
    }
    return false;
  }

  /** Gives up a claim for another's of the same epoch. */
  void yield(int slot, Voter rival) {
    voterSet = VoterSets.with(voterSet, slot, rival);
    spare = false;
  }

  /** A voter slot of this place that another instance of it held, or -1. */
  int lostSlot() {
    return ownSlot() >= 0 ? -1 : VoterSets.ofPlace(voterSet, address, station);
  }
}
