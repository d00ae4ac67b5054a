package willowdoor.members;

import java.util.HashMap;
import java.util.Map;

/** Whether this process is cut off, and whose view differs from its own. */
final class Contact {

  /** A view that is not the own one, since when, and what was last told of it. */
  private record Other(long since, long digest) {}

  /** Another roster than the own one. */
  record OtherRoster(int version, int hash) {}

  private final Roster roster;
  private final long noAnswerMs;
  private final long doubtMs;
  private final Map<Integer, Other> others = new HashMap<>();
  private final Map<Integer, OtherRoster> rosters = new HashMap<>();
  private long answered;
  private long equal;

  /** When a majority was last alive and not even suspected. */
  private long sure;

  private boolean cutOff = true;
  private long cutOffSince;

  Contact(Roster roster, long noAnswerMs, long doubtMs, long now) {
    this.roster = roster;
    this.noAnswerMs = noAnswerMs;
    this.doubtMs = doubtMs;
    answered = now;
    equal = now;
    sure = now;
    cutOffSince = now;
  }

  /** A probe was answered. */
  void answered(long now) {
    answered = now;
  }

  /** The process was held up: what it did not do in that time tells nothing. */
  void putOff(long ms) {
    answered += ms;
    equal += ms;
    sure += ms;
  }

  /** Notes whose digest was heard; whether it is of the own roster and differs. */
  boolean heard(Message.Header header, long own, long now) {
    int from = header.from();
    if (!sameRoster(header)) {
      rosters.put(from, new OtherRoster(header.rosterVersion(), header.rosterHash()));
      others.remove(from);
      return false;
    }
    rosters.remove(from);
    if (header.digest() == own) {
      others.remove(from);
      equal = now;
      return false;
    }
    Other before = others.get(from);
    others.put(from, new Other(before == null ? now : before.since(), header.digest()));
    return true;
  }

  boolean sameRoster(Message.Header header) {
    return header.rosterVersion() == roster.version() && header.rosterHash() == roster.hash();
  }

  /** For how long nobody was heard that sees what this process sees. */
  long outOfStepMs(long now) {
    return now - equal;
  }

  /** Looks again; true where it has changed. */
  boolean look(View view, boolean joined, long now) {
    boolean silent = roster.size() > 1 && now - answered > noAnswerMs;
    if (view.count(MemberState.ALIVE) >= roster.majority()) {
      sure = now;
    }
    boolean is = !joined || silent || view.reached() < roster.majority() || now - sure > doubtMs;
    boolean changed = is != cutOff;
    if (changed) {
      cutOff = is;
      cutOffSince = now;
    }
    return changed;
  }

  boolean cutOff() {
    return cutOff;
  }

  /** Since when it is as it is. */
  long since() {
    return cutOffSince;
  }

  /** Whose view was last told to be another than this digest, and since when. */
  Map<Integer, Long> differing(long own) {
    Map<Integer, Long> found = new HashMap<>();
    others.forEach(
        (member, other) -> {
          if (other.digest() != own) {
            found.put(member, other.since());
          }
        });
    return found;
  }

  Map<Integer, OtherRoster> otherRosters() {
    return Map.copyOf(rosters);
  }
}
