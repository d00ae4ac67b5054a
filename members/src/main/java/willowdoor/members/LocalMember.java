package willowdoor.members;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** What a process says of itself, and how it answers what others say of its name. */
final class LocalMember {

  /** What came of something that was said of this process. */
  enum Outcome {
    NOTHING,
    REFUTED,
    RAISED,
    DUPLICATE,
    SUPERSEDED,
    RESUMED
  }

  /**
   * Generations above the own one in the time that a twin is looked for: more than one that was
   * here before.
   */
  private static final int DUPLICATE_THRESHOLD = 3;

  private final int index;
  private final long duplicateWindowMs;
  private long generation;
  private int incarnation;
  private MemberState state = MemberState.JOINING;
  private Tags tags = Tags.NONE;
  private boolean superseded;

  /** When a larger generation was heard of, the latest ones. */
  private final Deque<Long> raisedAt = new ArrayDeque<>();

  LocalMember(int index, long generation, long duplicateWindowMs) {
    this.index = index;
    this.generation = generation;
    this.duplicateWindowMs = duplicateWindowMs;
  }

  Statement statement() {
    return new Statement(index, generation, incarnation, state, List.of(), tags);
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
  Outcome handleStatement(Statement received, long now) {
    if (received.generation() < generation || state == MemberState.LEFT) {
      return Outcome.NOTHING;
    }
    if (superseded) {
      return received.state().present() ? Outcome.NOTHING : resume(received);
    }
    if (received.generation() > generation || received.incarnation() > incarnation) {
      return handleNewerStatement(received, now);
    }
    if (received.incarnation() < incarnation || received.state().compareTo(state) <= 0) {
      return Outcome.NOTHING;
    }
    incarnation++;
    return Outcome.REFUTED;
  }

  /**
   * What it has never said of itself was said by another process, which may be over or still be
   * there.
   */
  private Outcome handleNewerStatement(Statement received, long now) {
    while (!raisedAt.isEmpty() && now - raisedAt.peekFirst() > duplicateWindowMs) {
      raisedAt.removeFirst();
    }
    raisedAt.addLast(now);
    boolean duplicate = raisedAt.size() >= DUPLICATE_THRESHOLD;
    if (duplicate) {
      raisedAt.removeFirst();
      if (Generation.randomPart(received.generation()) > Generation.randomPart(generation)) {
        superseded = true;
        return Outcome.SUPERSEDED;
      }
    }
    raiseGeneration(received);
    return duplicate ? Outcome.DUPLICATE : Outcome.RAISED;
  }

  private Outcome resume(Statement received) {
    superseded = false;
    raisedAt.clear();
    raiseGeneration(received);
    return Outcome.RESUMED;
  }

  private void raiseGeneration(Statement received) {
    generation = Generation.above(received.generation(), generation);
    incarnation = 0;
  }
}
