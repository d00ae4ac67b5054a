package elmsail.consensus;

import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.Blob;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** Keys of one set, each changed by whoever asks in two rounds at a majority; no log, no leader. */
public interface Register {

  /** A decided value: null bytes where the key was never set. */
  record VersionedValue(Ballot ballot, byte[] value) {}

  /**
   * What a change wants: {@code value} null leaves the key as it is ("declined"), and the future
   * gives that.
   */
  record ProposedValue(byte[] value, List<Blob> blobs) {}

  /**
   * What the change came upon: the current value (null: none) and the notes told with the promises.
   */
  record ObservedState(byte[] value, List<byte[]> sideEffects) {}

  /** What holds now; {@code changed} false where the change was declined. */
  record CommittedState(VersionedValue current, boolean changed) {}

  /**
   * The value that a majority holds, newer than or equal to all that was decided when this was
   * called. Fails with NOT_REACHED or SILENT. {@code known} spares the bytes (value null, same
   * ballot) if nothing is newer; may be null.
   */
  CompletableFuture<VersionedValue> read(String key, Ballot knownBallot, long timeoutMs);

  /**
   * Changes the key: the function may be called again after a lost race, always with what is
   * current. Fails with NOT_REACHED (nothing was sent to be taken) or UNCLEAR (it may hold or not).
   * A value found half taken is finished first, as the function's {@code Found}.
   *
   * @param blobs sent with the first round, kept wherever it is promised
   * @param sideEffect told to the replicas' views with the first round, or null
   */
  CompletableFuture<CommittedState> change(
      String key,
      Function<ObservedState, ProposedValue> change,
      List<Blob> blobs,
      byte[] sideEffect,
      long timeoutMs);

  /**
   * A blob from whoever has it, the nearest first; null only if a majority with memory say that
   * there is none.
   */
  CompletableFuture<byte[]> readBlob(String key, String name, long timeoutMs);
}
