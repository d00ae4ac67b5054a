package elmsail.consensus;

/**
 * Listener of an application for the values of a replica. Methods are called on the replica's event
 * loop, before the response of the vote in question is sent, and must not block.
 */
public interface ReplicaListener {
  /**
   * A prepare request with a side effect was promised. A side effect is information on the coming
   * change, which the proposer passes to the listener.
   *
   * @return sent back with the promise, for {@link Register.ObservedState#sideEffects}; null for
   *     none
   */
  default byte[] onSideEffect(String key, byte[] sideEffect) {
    return null;
  }

  /**
   * Whether this voter may accept the value; if not, it responds {@code NOT_ADMITTED}.
   *
   * @param value null if the absence of a value is to be committed
   */
  default boolean admits(String key, byte[] value) {
    return true;
  }

  /**
   * A value was accepted and is on disk, was read from disk at the start, or was copied by a join.
   *
   * @param value null if the absence of a value was accepted: earlier values of the key that this
   *     voter accepted are void
   */
  default void onAccepted(String key, byte[] value) {}

  /**
   * A key without a value whose promise is newer than its accepted ballot, if it has one, was read
   * from disk at the start or was copied by a join.
   */
  default void onPromised(String key) {}

  /** The key was removed here. */
  default void onDropped(String key) {}
}
