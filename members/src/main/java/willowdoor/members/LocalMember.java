package willowdoor.members;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** The own statement of this process, and how it reacts to statements of others about its name. */
final class LocalMember {

  /** The effect of a received statement about this process. */
  enum Outcome {
    NOTHING,
    REFUTED,
    RAISED,
    DUPLICATE,
    SUPERSEDED,
    RESUMED
  }

  /**
   * Number of newer statements within the duplicate window that indicates a second running process
   * with the same name. An earlier process that has ended causes fewer.
   */
  private static final int DUPLICATE_THRESHOLD = 3;

  private final int index;
  private final long duplicateWindowMs;
  private long generation;
  private int incarnation;
  private MemberState state = MemberState.JOINING;
  private Tags tags = Tags.NONE;
  private boolean superseded;

  /** Times at which statements newer than the own one arrived, within the duplicate window. */
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

  /** Whether this process is silent because another process runs under its name. */
  boolean superseded() {
    return superseded;
  }

  void state(MemberState changed) {
    state = changed;
  }

  /** Replaces the tags; this starts a new incarnation. */
  void tags(Tags changed) {
    tags = changed;
    incarnation++;
  }

  /** Handles a received statement about this process's name. */
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
   * Handles a statement that this process never published: another process under the same name
   * published it, and may have ended or still be running.
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
