package elmsail.consensus;

import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.Blob;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * The keys of one set, each a linearizable register that any client reads and changes at a majority
 * of the set's voters.
 *
 * <p>Methods are called on the client's event loop, which completes the futures as well, never
 * within the call that returned them.
 */
public interface Register {

  /**
   * A committed value.
   *
   * @param ballot under which the value was accepted; round 0 if the key was never set
   * @param value null if the key was never set, or if the reader knew this ballot already
   */
  record VersionedValue(Ballot ballot, byte[] value) {}

  /**
   * The result of a change function.
   *
   * @param value the new value; null leaves the key as it is ("declined")
   * @param blobs stored together with the value wherever that is accepted; null counts as none
   */
  record ProposedValue(byte[] value, List<Blob> blobs) {}

  /**
   * The argument of a change function.
   *
   * @param value the current value, or null if there is none
   * @param sideEffects what the voters' listeners returned with their promises; empty if no prepare
   *     phase was needed
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
   * Reads the value that a majority accepted: it is at least as new as every value that was
   * committed before this call.
   *
   * @param knownBallot the ballot that the caller knows, or null; if nothing is newer, the result
   *     has this ballot and no value
   * @param timeoutMs after which the future fails
   * @return fails with {@code NO_QUORUM}
   */
  CompletableFuture<VersionedValue> read(String key, Ballot knownBallot, long timeoutMs);

  /**
   * Changes a key. A value that an earlier proposer left accepted by a minority is committed first,
   * as the state that the function observes.
   *
   * @param change called with the current state; called again, with what is then current, after a
   *     conflict with another proposer. What it throws fails the future
   * @param blobs sent with the prepare phase, and stored by each voter that promises
   * @param sideEffect given to the voters' {@link ReplicaListener#onSideEffect} with the prepare
   *     phase, or null
   * @param timeoutMs after which the future fails
   * @return fails with {@code NO_QUORUM} if no value was sent to be accepted, with {@code
   *     OUTCOME_UNKNOWN} if one was and it may or may not be committed
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
   * @return null only if so many voters lack it that no majority can have stored it; fails with
   *     {@code NO_QUORUM}
   */
  CompletableFuture<byte[]> readBlob(String key, String name, long timeoutMs);
}
