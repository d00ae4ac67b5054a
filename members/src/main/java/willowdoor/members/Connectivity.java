package willowdoor.members;

import java.util.HashMap;
import java.util.Map;

/** Whether this process is cut off, and whose view differs from its own. */
final class Connectivity {

  /** A view that is not the own one, since when, and what was last told of it. */
  private record DifferingView(long since, long digest) {}

  /** Another roster than the own one. */
  record OtherRoster(int version, int hash) {}

  private final Roster roster;
  private final long noAnswerMs;
  private final long noMajorityMs;
  private final Map<Integer, DifferingView> differingViews = new HashMap<>();
  private final Map<Integer, OtherRoster> otherRosters = new HashMap<>();
  private long lastAckAt;
  private long lastEqualViewAt;

  /** When a majority was last alive and not even suspected. */
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

  /** A probe was answered. */
  void probeAnswered(long now) {
    lastAckAt = now;
  }

  /** The process was held up: what it did not do in that time tells nothing. */
  void postpone(long ms) {
    lastAckAt += ms;
    lastEqualViewAt += ms;
    lastMajorityAt += ms;
  }

  /** Notes whose digest was heard; whether it is of the own roster and differs. */
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

  /** For how long nobody was heard that sees what this process sees. */
  long noEqualViewMs(long now) {
    return now - lastEqualViewAt;
  }

  /** Looks again; true where it has changed. */
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

  /** Since when it is as it is. */
  long lastChangeAt() {
    return isolationChangedAt;
  }

  /** Whose view was last told to be another than this digest, and since when. */
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
