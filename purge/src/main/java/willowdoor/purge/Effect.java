package willowdoor.purge;

/** An action that a state machine requests; the actions of a list are executed in order. */
sealed interface Effect {
  /** Sends a message; a message to this gateway itself is delivered like any other. */
  record Send(int to, Message message) implements Effect {}

  /**
   * Removes the answers that the scope covers from the cache. They are not served any more, so this
   * only frees memory.
   */
  record Drop(Scope scope) implements Effect {}

  /** Removes all answers from the cache, which also only frees memory. */
  record DropAll() implements Effect {}

  /** The answer to a caller; each caller gets only one answer. */
  record Answer(long caller, Outcome outcome) implements Effect {}
}
