package elmsail.consensus;

/**
 * What a replica folds from its records; called on its loop, before the answer that tells of the
 * vote leaves.
 */
public interface ReplicaListener {
  /**
   * With a first round: takes what the asker says of the change to come, and tells what it has to
   * tell.
   */
  default byte[] onSideEffect(String key, byte[] sideEffect) {
    return null;
  }

  /** Whether the value may be taken here. */
  default boolean admits(String key, byte[] value) {
    return true;
  }

  /**
   * The value was taken and is on disk, or was read from the disk at the start or copied from
   * another.
   */
  default void onAccepted(String key, byte[] value) {}

  /** The key was found at the start, or copied, with a promise and no value. */
  default void onPromised(String key) {}

  /** The key was dropped. */
  default void onDropped(String key) {}
}
