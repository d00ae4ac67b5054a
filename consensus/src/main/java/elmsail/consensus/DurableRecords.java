package elmsail.consensus;

import elmsail.rpc.messages.Blob;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.storage.RecordStore;
import elmsail.storage.RecordStore.Change;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * The records of one set. Delays each response until all writes before it are on disk. Used on the
 * replica's event loop.
 */
final class DurableRecords {
  private final RecordStore records;
  private final RecordNames names;
  private CompletableFuture<Void> lastWrite = CompletableFuture.completedFuture(null);
  private long failedWrites;

  DurableRecords(RecordStore records, RecordNames names) {
    this.records = records;
    this.names = names;
  }

  /** The state of a key as last written, on disk or not. */
  AcceptorState state(String key) {
    return AcceptorState.fromBytes(records.read(names.keyRecord(key)));
  }

  /**
   * Writes changes. Reads return the changed records at once. Writes are ordered: when a write is
   * on disk, all writes before it are as well. If a write fails, reads return the records as they
   * were before it.
   */
  CompletableFuture<Void> write(List<Change> changes) {
    CompletableFuture<Void> written = records.write(changes);
    if (written.isCompletedExceptionally()) {
      return written;
    }
    lastWrite = written;
    written.whenComplete(
        (none, failure) -> {
          if (failure != null) {
            failedWrites++;
            if (lastWrite == written) {
              lastWrite = CompletableFuture.completedFuture(null);
            }
          }
        });
    return written;
  }

  /**
   * The changes that a vote writes: the blobs that are not stored yet, and the key's state if it
   * changes.
   */
  List<Change> changes(String key, Acceptor.Decision decision, List<Blob> blobs) {
    List<Change> changes = new ArrayList<>();
    for (Blob blob : blobs) {
      String name = names.blobRecord(key, blob.name);
      if (!names.isStored(records, name)) {
        changes.add(new Change(name, blob.bytes));
      }
    }
    if (decision.newState() != null) {
      changes.add(new Change(names.keyRecord(key), decision.newState().toBytes()));
    }
    return changes;
  }

  /** Removes a key and its blobs. */
  void removeKey(String key) {
    List<Change> changes = new ArrayList<>();
    changes.add(new Change(names.keyRecord(key), null));
    for (String name : records.names(names.blobPrefix(key))) {
      changes.add(new Change(name, null));
    }
    write(changes);
  }

  /** Removes all keys and blobs. */
  void removeAll() {
    List<Change> changes = new ArrayList<>();
    for (String prefix : new String[] {names.keyPrefix(), names.blobPrefix()}) {
      for (String name : records.names(prefix)) {
        changes.add(new Change(name, null));
      }
    }
    if (!changes.isEmpty()) {
      write(changes);
    }
  }

  /**
   * Writes changes, and responds when these and all earlier writes are on disk.
   *
   * @param response called on the event loop when the writes are on disk
   * @return fails with {@code STORAGE_FAILURE} if one of those writes failed
   */
  <A> CompletableFuture<A> respondOnceDurable(List<Change> changes, Supplier<A> response) {
    long failedBefore = failedWrites;
    CompletableFuture<Void> durable = changes.isEmpty() ? lastWrite : write(changes);
    return durable.thenApply(
        none -> {
          if (failedWrites != failedBefore) {
            throw new ElmsailException(
                ErrorCode.STORAGE_FAILURE,
                names.set() + ": a write that the response relies on failed");
          }
          return response.get();
        });
  }
}
