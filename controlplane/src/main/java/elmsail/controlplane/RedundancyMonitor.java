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
  private static final long HEARD_MS = 1_800;

  private static final long WHOLE = Long.MAX_VALUE;

  private final String set;
  private long missedSince = WHOLE;
  private long lastRepairMs;
  private int repairs;
  private int voting;

  RedundancyMonitor(String set) {
    this.set = set;
  }

  /**
   * Looks once.
   *
   * @param directs whether this node is in a position to know; what it saw before is forgotten if
   *     not
   */
  void look(boolean directs, HeartbeatTable heard, VoterSet voterSet, long now) {
    if (directs) {
      look(heard, voterSet, now);
    } else {
      missedSince = WHOLE;
      voting = 0;
    }
  }

  private void look(HeartbeatTable heard, VoterSet voterSet, long now) {
    voting = 0;
    long lastMissed = Long.MAX_VALUE;
    for (Voter holder : voterSet.voters) {
      HeartbeatTable.Member there = heard.store(holder.address);
      if (votes(there, holder) && now - there.lastAt() <= HEARD_MS) {
        voting++;
      } else if (there != null) {
        lastMissed = Math.min(lastMissed, there.lastAt());
      }
    }
    if (voting < voterSet.voters.size()) {
      if (missedSince == WHOLE) {
        missedSince = Math.min(now, lastMissed);
        LOG.warn("{}: {} of {} slots vote", set, voting, voterSet.voters.size());
      }
    } else if (missedSince != WHOLE) {
      lastRepairMs = now - missedSince;
      missedSince = WHOLE;
      repairs++;
      LOG.info(
          "{}: all {} slots vote, {} ms after one was missed: it bears {} losses",
          set,
          voting,
          lastRepairMs,
          (voting - 1) / 2);
    }
  }

  private static boolean votes(HeartbeatTable.Member there, Voter holder) {
    return there != null && there.voting() && there.instanceId() == holder.instanceId;
  }

  /** How many holders were heard as voting at the last look; 0 where this node cannot know. */
  int voting() {
    return voting;
  }

  /** Whether a slot is missed now. */
  boolean missing() {
    return missedSince != WHOLE;
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
