package elmsail.controlplane;

import elmsail.consensus.VoterSets;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Decides who holds the voter slots of the stores, or of the head, from what was heard: the stores'
 * founding, and which spare takes a slot whose holder is gone or is to be retired. Pure; all times
 * are steady ms.
 */
final class PlacementController {
  static final long STORE_GONE_AFTER_MS = 2_500;
  static final long MAX_SPARE_HEARTBEAT_AGE_MS = 800;

  /**
   * For the head's slots: above a restart after a short loss of power where that can be, and low
   * enough that a successor votes within catch_up_s of its start even if its predecessor went only
   * then (3.0 s, a look each 0.2 s, the order at once, the copy of few keys).
   */
  static final long CONTROL_PLANE_GONE_AFTER_MS = 3_000;

  private static final long REDUCED_SET_AFTER_MS = 6_000;
  private static final long ZONE_SPREAD_WAIT_MS = 1_000;

  /** A storePlacement that did not look for so long was held up itself, and listens anew. */
  private static final long MAX_TICK_GAP_MS = 700;

  private final int targetVoterCount;
  private final long goneAfterMs;
  private long observingSinceMs;
  private long lastTickMs;
  private Assignment assignment;
  private int assignmentsForVoter;
  private long replacedInstanceId;
  private int replacedSlot;

  /** Which store is to claim which voter slot, and as what. */
  record Assignment(int slot, String address, int epoch) {}

  /** Makes one for so many voter slots, listening from now on. */
  PlacementController(int targetVoterCount, long now) {
    this(targetVoterCount, STORE_GONE_AFTER_MS, now);
  }

  /** Makes one that takes a holder for gone when it was not heard for so long. */
  PlacementController(int targetVoterCount, long goneAfterMs, long now) {
    this.goneAfterMs = goneAfterMs;
    this.targetVoterCount = targetVoterCount;
    this.observingSinceMs = now;
    this.lastTickMs = now;
  }

  /** The first voter set, or null as long as it is not time; asked only while there is none. */
  VoterSet initialVoterSet(HeartbeatTable heartbeats, long now) {
    List<HeartbeatTable.Member> candidates = new ArrayList<>();
    long firstHeartbeatAtMs = Long.MAX_VALUE;
    Set<String> zones = new HashSet<>();
    for (HeartbeatTable.Member member : heartbeats.members()) {
      if (!member.isVoting()
          && member.jobStoreVoters().voters.isEmpty()
          && now - member.lastHeartbeatAtMs() <= goneAfterMs) {
        candidates.add(member);
        zones.add(member.zone());
        firstHeartbeatAtMs = Math.min(firstHeartbeatAtMs, member.firstHeartbeatAtMs());
      }
    }
    boolean hasEnough =
        candidates.size() >= targetVoterCount
            && (zones.size() >= targetVoterCount
                || now - firstHeartbeatAtMs >= ZONE_SPREAD_WAIT_MS);
    if (candidates.isEmpty() || !hasEnough && now - firstHeartbeatAtMs < REDUCED_SET_AFTER_MS) {
      return null;
    }
    List<HeartbeatTable.Member> chosen = spreadOverZones(candidates);
    VoterSet voterSet = new VoterSet();
    for (HeartbeatTable.Member member : chosen) {
      voterSet.voters.add(
          VoterSetValue.voter(member.address(), member.machine(), member.instanceId(), 1));
    }
    return voterSet;
  }

  /** One of each zone first, then others; in the order of their addresses. */
  private List<HeartbeatTable.Member> spreadOverZones(List<HeartbeatTable.Member> candidates) {
    List<HeartbeatTable.Member> chosen = new ArrayList<>();
    Set<String> zones = new HashSet<>();
    for (HeartbeatTable.Member member : candidates) {
      if (chosen.size() < targetVoterCount && zones.add(member.zone())) {
        chosen.add(member);
      }
    }
    for (HeartbeatTable.Member member : candidates) {
      if (chosen.size() < targetVoterCount && !chosen.contains(member)) {
        chosen.add(member);
      }
    }
    chosen.sort(Comparator.comparing(HeartbeatTable.Member::address));
    return chosen;
  }

  /**
   * What is to be claimed at present, or null. Called often, also while the lease is not held.
   *
   * @param decommissioning stations that are to be emptied
   * @param isObserving whether silence may be counted, also before the lease is held: this node's
   *     own silence isn't the others'
   * @param canAssign whether this control-plane node holds the lease and reads the head's register
   *     at a majority
   */
  Assignment assignment(
      HeartbeatTable heartbeats,
      VoterSet voterSet,
      Set<String> decommissioning,
      boolean isObserving,
      boolean canAssign,
      long now) {
    if (!isObserving || now - lastTickMs > MAX_TICK_GAP_MS) {
      observingSinceMs = now;
    }
    lastTickMs = now;
    if (!canAssign) {
      assignment = null;
      return null;
    }
    clearIfCompleted(voterSet);
    int slot =
        assignment != null
                && shouldReplace(heartbeats, voterSet, decommissioning, assignment.slot(), now)
            ? assignment.slot()
            : -1;
    for (int i = 0; i < voterSet.voters.size() && slot < 0; i++) {
      if (shouldReplace(heartbeats, voterSet, decommissioning, i, now)) {
        slot = i;
      }
    }
    if (slot < 0) {
      assignment = null;
      return null;
    }
    if (assignment != null
        && assignment.slot() == slot
        && hasHeartbeatWithin(heartbeats, assignment.address(), goneAfterMs, now)) {
      return assignment;
    }
    HeartbeatTable.Member spare = chooseSpare(heartbeats, voterSet, decommissioning, slot, now);
    assignment =
        spare == null ? null : new Assignment(slot, spare.address(), nextEpoch(voterSet, slot));
    return assignment;
  }

  private void clearIfCompleted(VoterSet voterSet) {
    if (assignment != null
        && (assignment.slot() >= voterSet.voters.size()
            || voterSet.voters.get(assignment.slot()).epoch >= assignment.epoch())) {
      assignment = null;
    }
  }

  /**
   * Above the present holder's, and above that of each spare that was sent for the voter slot
   * before.
   */
  private int nextEpoch(VoterSet voterSet, int slot) {
    Voter voter = voterSet.voters.get(slot);
    boolean sameVoter = voter.instanceId == replacedInstanceId && slot == replacedSlot;
    assignmentsForVoter = sameVoter ? assignmentsForVoter + 1 : 1;
    replacedInstanceId = voter.instanceId;
    replacedSlot = slot;
    return voter.epoch + assignmentsForVoter;
  }

  /** Whether the voter slot is to be taken by another, and no other voter slot is in change. */
  private boolean shouldReplace(
      HeartbeatTable heartbeats,
      VoterSet voterSet,
      Set<String> decommissioning,
      int slot,
      long now) {
    Voter voter = voterSet.voters.get(slot);
    boolean isGone = isGone(heartbeats, voter, now);
    if (!isGone && !decommissioning.contains(voter.machine)) {
      return false;
    }
    int votingCount = 0;
    int goneCount = 0;
    for (int i = 0; i < voterSet.voters.size(); i++) {
      if (i == slot) {
        continue;
      }
      Voter other = voterSet.voters.get(i);
      HeartbeatTable.Member member = heartbeats.memberAt(other.address);
      if (isGone(heartbeats, other, now)) {
        goneCount++;
      } else if (member != null && member.isVoting() && member.instanceId() == other.instanceId) {
        votingCount++;
      } else {
        return false;
      }
    }
    return votingCount >= VoterSets.blockingSize(voterSet.voters.size())
        && (isGone || goneCount == 0);
  }

  private boolean isGone(HeartbeatTable heartbeats, Voter voter, long now) {
    HeartbeatTable.Member member = heartbeats.memberAt(voter.address);
    long lastHeartbeatAtMs =
        member == null ? observingSinceMs : Math.max(observingSinceMs, member.lastHeartbeatAtMs());
    return now - lastHeartbeatAtMs > goneAfterMs;
  }

  private static boolean hasHeartbeatWithin(
      HeartbeatTable heartbeats, String address, long maxAgeMs, long now) {
    HeartbeatTable.Member member = heartbeats.memberAt(address);
    return member != null && now - member.lastHeartbeatAtMs() <= maxAgeMs;
  }

  /** In a zone where no other voter slot is, if there is such a one. */
  private static HeartbeatTable.Member chooseSpare(
      HeartbeatTable heartbeats,
      VoterSet voterSet,
      Set<String> decommissioning,
      int slot,
      long now) {
    Set<String> zones = new HashSet<>();
    for (int i = 0; i < voterSet.voters.size(); i++) {
      HeartbeatTable.Member member = heartbeats.memberAt(voterSet.voters.get(i).address);
      if (i != slot && member != null) {
        zones.add(member.zone());
      }
    }
    HeartbeatTable.Member fallback = null;
    for (HeartbeatTable.Member member : heartbeats.members()) {
      if (now - member.lastHeartbeatAtMs() <= MAX_SPARE_HEARTBEAT_AGE_MS
          && VoterSetValue.slotOf(voterSet, member.address()) < 0
          && !decommissioning.contains(member.machine())) {
        if (!zones.contains(member.zone())) {
          return member;
        }
        fallback = fallback == null ? member : fallback;
      }
    }
    return fallback;
  }
}
