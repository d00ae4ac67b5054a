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
   * @param value null if the key has no value, or if the caller named this ballot as known. A key
   *     without a value has a ballot if a declined change committed the absence
   */
  record VersionedValue(Ballot ballot, byte[] value) {}

  /**
   * The result of a change function.
   *
   * @param value the new value; null leaves the key unchanged (the change is "declined")
   * @param blobs the blobs that each voter stores when it accepts the value; null counts as none
   * @param fencesEarlierProposals whether a declined change must also prevent that values which
   *     other calls proposed before are committed later, see {@link #declinedAndFenced()}
   */
  record ProposedValue(byte[] value, List<Blob> blobs, boolean fencesEarlierProposals) {

    /** A new value, or null. */
    public ProposedValue(byte[] value, List<Blob> blobs) {
      this(value, blobs, false);
    }

    /**
     * Declines the change: no value that this call proposed is committed later. A value that
     * another call proposed, by this client or another, may still be committed if its outcome is
     * unknown.
     */
    public static ProposedValue declined() {
      return new ProposedValue(null, List.of(), false);
    }

    /**
     * Declines the change and commits the current value, or its absence, again under this call's
     * ballot. When the call completes, no value that any call proposed before and that is not the
     * current one can be committed any more. Costs an accept phase.
     */
    public static ProposedValue declinedAndFenced() {
      return new ProposedValue(null, List.of(), true);
    }
  }

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
   * @param changed false if the change was declined; then no value that the call proposed is
   *     committed later
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
   * change is declined. If this call has proposed a value itself before it is declined, it commits
   * the current value, or its absence, again, so that the proposed value can't be committed later.
   *
   * @param change called with the current state; called again with the then current state after a
   *     conflict with another proposer. If the function throws, the future fails with that
   *     exception, or with {@code OUTCOME_UNKNOWN} if an accept request was sent before
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
