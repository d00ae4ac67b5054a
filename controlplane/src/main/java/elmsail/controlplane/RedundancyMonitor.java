package elmsail.controlplane;

import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs when a voter set becomes degraded and when it is complete again and tolerates the next loss.
 * A voter set is degraded while the holder of at least one slot does not report that it votes.
 * Times are in ms of the monotonic clock. Runs on the event loop.
 */
final class RedundancyMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(RedundancyMonitor.class);

  /** Above the longest duration of a pull, 1,000 ms. */
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
   * Compares the heartbeats with the voter set; called at an interval.
   *
   * @param canAssign whether this node may assign slots, and therefore receives the heartbeats; if
   *     not, earlier observations are discarded
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
        LOG.warn(
            "voter set {} degraded: {} of {} slots vote",
            voterSetName,
            votingCount,
            voterSet.voters.size());
      }
    } else if (degradedSinceMs != NOT_DEGRADED) {
      lastRepairMs = now - degradedSinceMs;
      degradedSinceMs = NOT_DEGRADED;
      repairs++;
      LOG.info(
          "voter set {} complete: all {} slots vote again after {} ms; tolerates {} losses",
          voterSetName,
          votingCount,
          lastRepairMs,
          (votingCount - 1) / 2);
    }
  }

  private static boolean isVotingHolder(HeartbeatTable.Member member, Voter voter) {
    return member != null && member.isVoting() && member.instanceId() == voter.instanceId;
  }

  /** The number of voters that reported that they vote; 0 while this node cannot assign slots. */
  int votingCount() {
    return votingCount;
  }

  /** Whether a slot has no voting holder. */
  boolean isDegraded() {
    return degradedSinceMs != NOT_DEGRADED;
  }

  /** The number of times that the voter set became complete again. */
  int repairs() {
    return repairs;
  }

  /** Duration in ms of the last degradation that ended; 0 before the first. */
  long lastRepairMs() {
    return lastRepairMs;
  }
}
