package elmsail.consensus;

import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.Blob;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * The keys of one set. Each key is a linearizable register, which clients read and change at a
 * majority of the set's voters.
 *
 * <p>Methods are called on the client's event loop. The futures complete on this loop too, but
 * never within the call that returned them.
 */
public interface Register {

  /**
   * A committed value.
   *
   * @param ballot the ballot under which the value was accepted; round 0 if the key was never set
   * @param value null if the key was never set, or if the caller named this ballot as known
   */
  record VersionedValue(Ballot ballot, byte[] value) {}

  /**
   * The result of a change function.
   *
   * @param value the new value; null leaves the key unchanged (the change is "declined")
   * @param blobs the blobs that each voter stores when it accepts the value; null counts as none
   */
  record ProposedValue(byte[] value, List<Blob> blobs) {}

  /**
   * The argument of a change function.
   *
   * @param value the current value, or null if there is none
   * @param sideEffects the results of the voters' listeners, which they sent with their promises;
   *     empty if the prepare phase was skipped
   */
  record ObservedState(byte[] value, List<byte[]> sideEffects) {}

  /**
   * The outcome of a change.
   *
   * @param current the committed value
   * @param changed false if the change was declined
   */
  record CommittedState(VersionedValue current, boolean changed) {}

  /**
   * Reads the value that a majority accepted. The result is at least as new as every value that was
   * committed before this call.
   *
   * @param knownBallot the ballot that the caller has read before, or null; if there is no newer
   *     ballot, the result has this ballot and no value
   * @param timeoutMs the time after which the future fails
   * @return fails with {@code NO_QUORUM}
   */
  CompletableFuture<VersionedValue> read(String key, Ballot knownBallot, long timeoutMs);

  /**
   * Changes a key. If an earlier proposer left a value that only a minority accepted, the function
   * observes that value. This call commits it: as the base of the new value, or unchanged if the
   * change is declined.
   *
   * @param change called with the current state; called again with the then current state after a
   *     conflict with another proposer. If the function throws, the future fails with that
   *     exception
   * @param blobs the blobs to send with the prepare phase; each voter that promises stores them
   * @param sideEffect passed to the voters' {@link ReplicaListener#onSideEffect} in the prepare
   *     phase, or null
   * @param timeoutMs the time after which the future fails
   * @return fails with {@code NO_QUORUM} if no accept request was sent, and with {@code
   *     OUTCOME_UNKNOWN} if one was sent: the value may or may not be committed
   */
  CompletableFuture<CommittedState> change(
      String key,
      Function<ObservedState, ProposedValue> change,
      List<Blob> blobs,
      byte[] sideEffect,
      long timeoutMs);

  /**
   * Reads a blob from the nearest voter that has it.
   *
   * @return completes with null only if so many voters lack the blob that no majority can have
   *     stored it; fails with {@code NO_QUORUM}
   */
  CompletableFuture<byte[]> readBlob(String key, String name, long timeoutMs);
}
