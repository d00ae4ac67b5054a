package willowdoor.members;

import java.util.ArrayList;
import java.util.List;

/**
 * What is said of a member. Statements of one member are totally ordered by generation, incarnation
 * and state; who accuses and the tags are not part of that order.
 *
 * @param member the member's place in the roster, from 0
 * @param generation of its process; 0 where none was ever heard of
 * @param incarnation raised by the process itself, from 0
 * @param accusers who found on their own that it did not answer, at most {@link #MAX_ACCUSERS};
 *     only of a suspect
 * @param tags what it tells of itself in that incarnation
 */
public record Statement(
    int member,
    long generation,
    int incarnation,
    MemberState state,
    List<Integer> accusers,
    Tags tags) {

  /** More confirmations than any time-out goes by. */
  static final int MAX_ACCUSERS = 8;

  /** The largest that is accepted: there must be some above it. */
  static final int MAX_INCARNATION = 1 << 30;

  /** What holds of a member before anything was heard of it. */
  static Statement initial(int member) {
    return new Statement(member, 0, 0, MemberState.FAILED, List.of(), Tags.NONE);
  }

  /** Whether it holds instead of the other, which is of the same member. */
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

  /** The same member suspected, by these as well; the same object where they were known. */
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
