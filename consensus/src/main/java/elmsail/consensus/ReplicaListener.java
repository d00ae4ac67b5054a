package elmsail.consensus;

/**
 * What an application of the register derives from the values of a replica. Called on the replica's
 * event loop, before the response of the vote in question leaves; must not block.
 */
public interface ReplicaListener {
  /**
   * A prepare was promised that carries a side effect: what the proposer lets the listener know of
   * the change to come.
   *
   * @return sent back with the promise, for {@link Register.ObservedState#sideEffects}; null for
   *     nothing
   */
  default byte[] onSideEffect(String key, byte[] sideEffect) {
    return null;
  }

  /** Whether this voter may accept the value; if not, it responds {@code NOT_ADMITTED}. */
  default boolean admits(String key, byte[] value) {
    return true;
  }

  /** A value was accepted and is on disk, was found there at the start, or was copied in a join. */
  default void onAccepted(String key, byte[] value) {}

  /** A key was found at the start, or copied in a join, that is promised and has no value. */
  default void onPromised(String key) {}

  /** The key was removed here. */
  default void onDropped(String key) {}
}
