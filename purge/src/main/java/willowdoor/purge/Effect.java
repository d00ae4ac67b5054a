package willowdoor.purge;

/** What a state machine wants done, in this order. */
sealed interface Effect {
  /** To oneself too: that is delivered like any other. */
  record Send(int to, Message message) implements Effect {}

  /**
   * Let go of what was kept and is covered. It is not served any more, so this only frees memory.
   */
  record Drop(Scope scope) implements Effect {}

  /** Let go of all that was kept, likewise. */
  record DropAll() implements Effect {}

  /** The caller's answer; it is the only one. */
  record Answer(long caller, Outcome outcome) implements Effect {}
}
