package elmsail.controlplane;

import elmsail.consensus.VoterSets;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses the holders of a voter set's slots from the heartbeats: the initial voters, and the spare
 * that takes over the slot of a voter that is gone or is to be decommissioned. Does no I/O; times
 * are in ms of the monotonic clock. Runs on the event loop.
 */
final class PlacementController {
  static final long STORE_GONE_AFTER_MS = 2_500;
  static final long MAX_SPARE_HEARTBEAT_AGE_MS = 800;

  /**
   * Timeout for control-plane voters. It exceeds the time of a restart after a short power loss. It
   * is low enough that a successor votes within {@code catch_up_s} of its start even if its
   * predecessor is lost at the moment of that start: the replacement takes this timeout of 3.0 s,
   * up to 0.2 s until the next tick, and the transfer of a few keys.
   */
  static final long CONTROL_PLANE_GONE_AFTER_MS = 3_000;

  private static final long REDUCED_SET_AFTER_MS = 6_000;
  private static final long ZONE_SPREAD_WAIT_MS = 1_000;

  /**
   * A longer gap between ticks means that this process was frozen, so missing heartbeats are not
   * the members' fault.
   */
  private static final long MAX_TICK_GAP_MS = 700;

  private static final int NO_SLOT = -1;

  private final int targetVoterCount;
  private final long goneAfterMs;
  private long observingSinceMs;
  private long lastTickMs;
  private Assignment assignment;
  private int assignmentsForVoter;
  private long replacedInstanceId;
  private int replacedSlot;

  /** Directs the process at that RPC address to take over a voter slot at that epoch. */
  record Assignment(int slot, String address, int epoch) {}

  /** Creates a controller for job-store voters that counts missing heartbeats from now on. */
  PlacementController(int targetVoterCount, long now) {
    this(targetVoterCount, STORE_GONE_AFTER_MS, now);
  }

  /**
   * Creates a controller that counts missing heartbeats from now on.
   *
   * @param targetVoterCount size of the initial voter set
   * @param goneAfterMs time without heartbeats after which a voter counts as gone
   * @param now the present time
   */
  PlacementController(int targetVoterCount, long goneAfterMs, long now) {
    this.goneAfterMs = goneAfterMs;
    this.targetVoterCount = targetVoterCount;
    this.observingSinceMs = now;
    this.lastTickMs = now;
  }

  /**
   * Returns the initial voter set; empty while there are too few candidates and it is too early for
   * a reduced set.
   */
  Optional<VoterSet> initialVoterSet(HeartbeatTable heartbeats, long now) {
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
      return Optional.empty();
    }
    List<HeartbeatTable.Member> chosen = spreadOverZones(candidates);
    VoterSet voterSet = new VoterSet();
    for (HeartbeatTable.Member member : chosen) {
      voterSet.voters.add(
          VoterSetValue.voter(member.address(), member.machine(), member.instanceId(), 1));
    }
    return Optional.of(voterSet);
  }

  /**
   * Chooses one candidate of each zone first, then further candidates, both in the order of
   * addresses.
   */
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
   * Returns the current assignment; empty if no assignment is needed or no spare is available.
   * Called at an interval even while this node cannot assign slots, so that heartbeats that were
   * missing before it could assign count as well.
   *
   * @param decommissioning machines whose stores are to be decommissioned
   * @param isObserving whether missing heartbeats count against the members; false while this node
   *     itself may be partitioned
   * @param canAssign whether this node holds the lease and can read the register from a majority
   */
  Optional<Assignment> assignment(
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
      return Optional.empty();
    }
    clearIfCompleted(voterSet);
    int slot = slotToReplace(heartbeats, voterSet, decommissioning, now);
    if (slot == NO_SLOT) {
      assignment = null;
      return Optional.empty();
    }
    if (assignment != null
        && assignment.slot() == slot
        && hasHeartbeatWithin(heartbeats, assignment.address(), goneAfterMs, now)) {
      return Optional.of(assignment);
    }
    assignment =
        chooseSpare(heartbeats, voterSet, decommissioning, slot, now)
            .map(spare -> new Assignment(slot, spare.address(), nextEpoch(voterSet, slot)))
            .orElse(null);
    return Optional.ofNullable(assignment);
  }

  /**
   * Returns the already assigned slot while it needs a new holder, else the first slot that needs a
   * new holder.
   */
  private int slotToReplace(
      HeartbeatTable heartbeats, VoterSet voterSet, Set<String> decommissioning, long now) {
    if (assignment != null
        && shouldReplace(heartbeats, voterSet, decommissioning, assignment.slot(), now)) {
      return assignment.slot();
    }
    for (int slot = 0; slot < voterSet.voters.size(); slot++) {
      if (shouldReplace(heartbeats, voterSet, decommissioning, slot, now)) {
        return slot;
      }
    }
    return NO_SLOT;
  }

  private void clearIfCompleted(VoterSet voterSet) {
    if (assignment != null
        && (assignment.slot() >= voterSet.voters.size()
            || voterSet.voters.get(assignment.slot()).epoch >= assignment.epoch())) {
      assignment = null;
    }
  }

  /**
   * Returns an epoch above the current holder's and above the epochs of all earlier assignments for
   * that holder's slot.
   */
  private int nextEpoch(VoterSet voterSet, int slot) {
    Voter voter = voterSet.voters.get(slot);
    boolean sameVoter = voter.instanceId == replacedInstanceId && slot == replacedSlot;
    assignmentsForVoter = sameVoter ? assignmentsForVoter + 1 : 1;
    replacedInstanceId = voter.instanceId;
    replacedSlot = slot;
    return voter.epoch + assignmentsForVoter;
  }

  /**
   * Whether the slot needs another holder and may be reassigned now. All holders of other slots
   * must vote unless they are gone too, and enough of them must vote for the successor to copy the
   * state. A slot whose holder is only to be decommissioned is not reassigned while another holder
   * is gone.
   */
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

  /** A spare with a recent heartbeat, in a zone without another voter if possible. */
  private static Optional<HeartbeatTable.Member> chooseSpare(
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
          return Optional.of(member);
        }
        fallback = fallback == null ? member : fallback;
      }
    }
    return Optional.ofNullable(fallback);
  }
}
