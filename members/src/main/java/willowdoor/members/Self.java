package willowdoor.members;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** What a process says of itself, and how it answers what others say of its name. */
final class Self {

  /** What came of something that was said of this process. */
  enum Answer {
    NOTHING,
    REFUTED,
    RAISED,
    TWIN,
    SUPERSEDED,
    RESUMED
  }

  /**
   * Generations above the own one in the time that a twin is looked for: more than one that was
   * here before.
   */
  private static final int TWIN_AT = 3;

  private final int place;
  private final long twinMs;
  private long generation;
  private int incarnation;
  private MemberState state = MemberState.JOINING;
  private Tags tags = Tags.NONE;
  private boolean superseded;

  /** When a larger generation was heard of, the latest ones. */
  private final Deque<Long> raised = new ArrayDeque<>();

  Self(int place, long generation, long twinMs) {
    this.place = place;
    this.generation = generation;
    this.twinMs = twinMs;
  }

  Statement statement() {
    return new Statement(place, generation, incarnation, state, List.of(), tags);
  }

  MemberState state() {
    return state;
  }

  /** Whether it is silent, as another process runs under its name. */
  boolean superseded() {
    return superseded;
  }

  void state(MemberState changed) {
    state = changed;
  }

  /** A change of what it tells is a new incarnation. */
  void tags(Tags changed) {
    tags = changed;
    incarnation++;
  }

  /** Hears what is said of its name. */
  Answer hear(Statement said, long now) {
    if (said.generation() < generation || state == MemberState.LEFT) {
      return Answer.NOTHING;
    }
    if (superseded) {
      return said.state().present() ? Answer.NOTHING : resume(said);
    }
    if (said.generation() > generation || said.incarnation() > incarnation) {
      return outbid(said, now);
    }
    if (said.incarnation() < incarnation || said.state().compareTo(state) <= 0) {
      return Answer.NOTHING;
    }
    incarnation++;
    return Answer.REFUTED;
  }

  /**
   * What it has never said of itself was said by another process, which may be over or still be
   * there.
   */
  private Answer outbid(Statement said, long now) {
    while (!raised.isEmpty() && now - raised.peekFirst() > twinMs) {
      raised.removeFirst();
    }
    raised.addLast(now);
    boolean twin = raised.size() >= TWIN_AT;
    if (twin) {
      raised.removeFirst();
      if (Generation.drawn(said.generation()) > Generation.drawn(generation)) {
        superseded = true;
        return Answer.SUPERSEDED;
      }
    }
    raise(said);
    return twin ? Answer.TWIN : Answer.RAISED;
  }

  private Answer resume(Statement said) {
    superseded = false;
    raised.clear();
    raise(said);
    return Answer.RESUMED;
  }

  private void raise(Statement said) {
    generation = Generation.above(said.generation(), generation);
    incarnation = 0;
  }
}
