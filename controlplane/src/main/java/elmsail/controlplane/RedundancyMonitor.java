package elmsail.controlplane;

import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells when a set may lose its next member: a slot is missed while its holder isn't heard as
 * voting, and the set is whole again once all of them vote. Times are steady ms.
 */
final class RedundancyMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(RedundancyMonitor.class);

  /** A pull is held open for 1 s at most. */
  private static final long MAX_HEARTBEAT_AGE_MS = 1_800;

  private static final long NOT_DEGRADED = Long.MAX_VALUE;

  private final String voterSetName;
  private long degradedSinceMs = NOT_DEGRADED;
  private long lastRepairMs;
  private int repairs;
  private int votingCount;

  RedundancyMonitor(String voterSetName) {
    this.voterSetName = voterSetName;
  }

  /**
   * Looks once.
   *
   * @param canAssign whether this node is in a position to know; what it saw before is forgotten if
   *     not
   */
  void observe(boolean canAssign, HeartbeatTable heartbeats, VoterSet voterSet, long now) {
    if (canAssign) {
      observe(heartbeats, voterSet, now);
    } else {
      degradedSinceMs = NOT_DEGRADED;
      votingCount = 0;
    }
  }

  private void observe(HeartbeatTable heartbeats, VoterSet voterSet, long now) {
    votingCount = 0;
    long lastHeartbeatOfMissingMs = Long.MAX_VALUE;
    for (Voter voter : voterSet.voters) {
      HeartbeatTable.Member member = heartbeats.memberAt(voter.address);
      if (isVotingHolder(member, voter)
          && now - member.lastHeartbeatAtMs() <= MAX_HEARTBEAT_AGE_MS) {
        votingCount++;
      } else if (member != null) {
        lastHeartbeatOfMissingMs = Math.min(lastHeartbeatOfMissingMs, member.lastHeartbeatAtMs());
      }
    }
    if (votingCount < voterSet.voters.size()) {
      if (degradedSinceMs == NOT_DEGRADED) {
        degradedSinceMs = Math.min(now, lastHeartbeatOfMissingMs);
        LOG.warn("{}: {} of {} slots vote", voterSetName, votingCount, voterSet.voters.size());
      }
    } else if (degradedSinceMs != NOT_DEGRADED) {
      lastRepairMs = now - degradedSinceMs;
      degradedSinceMs = NOT_DEGRADED;
      repairs++;
      LOG.info(
          "{}: all {} slots vote, {} ms after one was missed: it bears {} losses",
          voterSetName,
          votingCount,
          lastRepairMs,
          (votingCount - 1) / 2);
    }
  }

  private static boolean isVotingHolder(HeartbeatTable.Member member, Voter voter) {
    return member != null && member.isVoting() && member.instanceId() == voter.instanceId;
  }

  /** How many holders were heard as voting at the last look; 0 where this node cannot know. */
  int votingCount() {
    return votingCount;
  }

  /** Whether a slot is missed now. */
  boolean isDegraded() {
    return degradedSinceMs != NOT_DEGRADED;
  }

  /** How many times all slots voted again. */
  int repairs() {
    return repairs;
  }

  /** From the loss to the repair, the last time; 0 before the first. */
  long lastRepairMs() {
    return lastRepairMs;
  }
}
