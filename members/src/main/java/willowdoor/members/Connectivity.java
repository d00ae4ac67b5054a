package willowdoor.members;

import java.util.HashMap;
import java.util.Map;

/** Whether this process is isolated from the majority, and which members have a different view. */
final class Connectivity {

  /** A view other than the own one: since when it differs, and its last received digest. */
  private record DifferingView(long since, long digest) {}

  /** A roster other than the own one. */
  record OtherRoster(int version, int hash) {}

  private final Roster roster;
  private final long noAnswerMs;
  private final long noMajorityMs;
  private final Map<Integer, DifferingView> differingViews = new HashMap<>();
  private final Map<Integer, OtherRoster> otherRosters = new HashMap<>();
  private long lastAckAt;
  private long lastEqualViewAt;

  /** When a majority of the roster was last alive, without the suspected members. */
  private long lastMajorityAt;

  private boolean isolated = true;
  private long isolationChangedAt;

  Connectivity(Roster roster, long noAnswerMs, long noMajorityMs, long now) {
    this.roster = roster;
    this.noAnswerMs = noAnswerMs;
    this.noMajorityMs = noMajorityMs;
    lastAckAt = now;
    lastEqualViewAt = now;
    lastMajorityAt = now;
    isolationChangedAt = now;
  }

  /** Records that a probe was acknowledged. */
  void probeAnswered(long now) {
    lastAckAt = now;
  }

  /** Excludes the time for which this process was stalled from all periods without contact. */
  void postpone(long ms) {
    lastAckAt += ms;
    lastEqualViewAt += ms;
    lastMajorityAt += ms;
  }

  /** Records the sender's digest; returns whether it differs and is based on the same roster. */
  boolean recordHeader(Message.Header header, long ownDigest, long now) {
    int from = header.from();
    if (!sameRoster(header)) {
      otherRosters.put(from, new OtherRoster(header.rosterVersion(), header.rosterHash()));
      differingViews.remove(from);
      return false;
    }
    otherRosters.remove(from);
    if (header.digest() == ownDigest) {
      differingViews.remove(from);
      lastEqualViewAt = now;
      return false;
    }
    DifferingView previous = differingViews.get(from);
    differingViews.put(
        from, new DifferingView(previous == null ? now : previous.since(), header.digest()));
    return true;
  }

  boolean sameRoster(Message.Header header) {
    return header.rosterVersion() == roster.version() && header.rosterHash() == roster.hash();
  }

  /** The time since a message with the own view's digest was last received. */
  long noEqualViewMs(long now) {
    return now - lastEqualViewAt;
  }

  /** Re-evaluates the isolation; returns whether it has changed. */
  boolean update(View view, boolean joined, long now) {
    boolean silent = roster.size() > 1 && now - lastAckAt > noAnswerMs;
    if (view.count(MemberState.ALIVE) >= roster.majority()) {
      lastMajorityAt = now;
    }
    boolean isolatedNow =
        !joined
            || silent
            || view.reachable() < roster.majority()
            || now - lastMajorityAt > noMajorityMs;
    boolean changed = isolatedNow != isolated;
    if (changed) {
      isolated = isolatedNow;
      isolationChangedAt = now;
    }
    return changed;
  }

  boolean isolated() {
    return isolated;
  }

  /** When the isolation last changed. */
  long lastChangeAt() {
    return isolationChangedAt;
  }

  /** Members whose last received digest differs from {@code ownDigest}, and since when. */
  Map<Integer, Long> differingSince(long ownDigest) {
    Map<Integer, Long> found = new HashMap<>();
    differingViews.forEach(
        (member, other) -> {
          if (other.digest() != ownDigest) {
            found.put(member, other.since());
          }
        });
    return found;
  }

  Map<Integer, OtherRoster> otherRosters() {
    return Map.copyOf(otherRosters);
  }
}
