package willowdoor.purge;

import java.util.List;

/** How a call about a purge ends. */
public sealed interface Outcome {
  enum FailureReason {
    NO_MAJORITY,
    TOO_MANY,
    BUSY,
    KEY_USED
  }

  /**
   * The promise holds from now on. {@code ranOut}: members of which a lease had to run out, the
   * first 64.
   */
  record Complete(PurgeId id, int confirmed, List<Integer> ranOut) implements Outcome {}

  /** A majority of keepers holds it and it goes on; the caller's time is over. */
  record Pending(PurgeId id) implements Outcome {}

  /** It was not taken; {@code NO_MAJORITY} or {@code BUSY}. */
  record Unavailable(PurgeId id, FailureReason reason) implements Outcome {}

  /** It is not begun; {@code KEY_USED} or {@code TOO_MANY}. */
  record Rejected(PurgeId id, FailureReason reason) implements Outcome {}

  /** A majority of keepers does not know this id of this customer. */
  record Unknown(PurgeId id) implements Outcome {}
}
