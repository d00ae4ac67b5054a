package willowdoor.purge;

import java.util.List;

/** The outcome of a purge request or of a status query. */
public sealed interface Outcome {
  enum FailureReason {
    NO_MAJORITY,
    TOO_MANY,
    BUSY,
    KEY_USED
  }

  /**
   * From now on no gateway serves a covered answer that was requested before the purge. {@code
   * ranOut}: the members whose lease had to expire, the first 64 of them.
   */
  record Complete(PurgeId id, int confirmed, List<Integer> ranOut) implements Outcome {}

  /**
   * A majority of acceptors holds the purge and the purge continues; the caller's deadline has
   * passed.
   */
  record Pending(PurgeId id) implements Outcome {}

  /** The purge was not accepted; the reason is {@code NO_MAJORITY} or {@code BUSY}. */
  record Unavailable(PurgeId id, FailureReason reason) implements Outcome {}

  /** The purge is not started; the reason is {@code KEY_USED} or {@code TOO_MANY}. */
  record Rejected(PurgeId id, FailureReason reason) implements Outcome {}

  /** A majority of acceptors does not know this purge id of this customer. */
  record Unknown(PurgeId id) implements Outcome {}
}
