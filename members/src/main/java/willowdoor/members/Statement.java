package willowdoor.members;

import java.util.ArrayList;
import java.util.List;

/**
 * A statement about the state of one member. Statements about a member are totally ordered by
 * generation, incarnation and state; accusers and tags are not part of that order.
 *
 * @param member the member's index in the roster, from 0
 * @param generation the generation of the member's process; 0 if none was ever received
 * @param incarnation a number that only the member itself raises, from 0
 * @param accusers members whose own probes of the member failed, at most {@link #MAX_ACCUSERS};
 *     only for a suspect
 * @param tags the tags that the member publishes in that incarnation
 */
public record Statement(
    int member,
    long generation,
    int incarnation,
    MemberState state,
    List<Integer> accusers,
    Tags tags) {

  /** More accusers than any suspicion time-out takes into account. */
  static final int MAX_ACCUSERS = 8;

  /** The largest accepted incarnation; the margin above it allows a member to raise its own. */
  static final int MAX_INCARNATION = 1 << 30;

  /** The statement about a member before any was received. */
  static Statement initial(int member) {
    return new Statement(member, 0, 0, MemberState.FAILED, List.of(), Tags.NONE);
  }

  /** Whether this statement is newer than the other one about the same member. */
  boolean supersedes(Statement other) {
    if (generation != other.generation) {
      return generation > other.generation;
    }
    return incarnation != other.incarnation
        ? incarnation > other.incarnation
        : state.compareTo(other.state) > 0;
  }

  boolean sameIncarnation(Statement other) {
    return generation == other.generation && incarnation == other.incarnation;
  }

  Statement withState(MemberState changed) {
    return new Statement(member, generation, incarnation, changed, List.of(), tags);
  }

  /** The member as suspected by {@code others} too; this object if it contains all of them. */
  Statement suspectedBy(List<Integer> others) {
    List<Integer> all = new ArrayList<>(state == MemberState.SUSPECT ? accusers : List.of());
    for (int other : others) {
      if (all.size() < MAX_ACCUSERS && !all.contains(other)) {
        all.add(other);
      }
    }
    return state == MemberState.SUSPECT && all.size() == accusers.size()
        ? this
        : new Statement(
            member, generation, incarnation, MemberState.SUSPECT, List.copyOf(all), tags);
  }
}
