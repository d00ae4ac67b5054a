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

/** One set's records, and answers that leave only once all that was written before them is safe. */
final class DurableRecords {
  private final RecordStore records;
  private final RecordNames names;
  private CompletableFuture<Void> lastWrite = CompletableFuture.completedFuture(null);
  private long failedWrites;

  DurableRecords(RecordStore records, RecordNames names) {
    this.records = records;
    this.names = names;
  }

  AcceptorState state(String key) {
    return AcceptorState.fromBytes(records.read(names.key(key)));
  }

  /**
   * Ordered: once one is safe, all before it are; where one fails, what was read as written is
   * undone.
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

  /** What a vote has to write: blobs that aren't there yet, and the key's state if that changes. */
  List<Change> changes(String key, Acceptor.Decision decision, List<Blob> blobs) {
    List<Change> changes = new ArrayList<>();
    for (Blob blob : blobs) {
      String name = names.blob(key, blob.name);
      if (!names.isStored(records, name)) {
        changes.add(new Change(name, blob.bytes));
      }
    }
    if (decision.newState() != null) {
      changes.add(new Change(names.key(key), decision.newState().toBytes()));
    }
    return changes;
  }

  /** Removes the key's state and its blobs. */
  void removeKey(String key) {
    List<Change> changes = new ArrayList<>();
    changes.add(new Change(names.key(key), null));
    for (String name : records.names(names.blobs(key))) {
      changes.add(new Change(name, null));
    }
    write(changes);
  }

  /** Removes all keys and blobs. */
  void removeAll() {
    List<Change> changes = new ArrayList<>();
    for (String prefix : new String[] {names.keys(), names.blobs()}) {
      for (String name : records.names(prefix)) {
        changes.add(new Change(name, null));
      }
    }
    if (!changes.isEmpty()) {
      write(changes);
    }
  }

  /**
   * Answers once the changes, and all before them, are safe; never if one of those failed
   * meanwhile.
   */
  <A> CompletableFuture<A> respondOnceDurable(List<Change> changes, Supplier<A> response) {
    long failedBefore = failedWrites;
    CompletableFuture<Void> durable = changes.isEmpty() ? lastWrite : write(changes);
    return durable.thenApply(
        none -> {
          if (failedWrites != failedBefore) {
            throw new ElmsailException(
                ErrorCode.STORAGE_FAILURE, "what this relies on could not be written");
          }
          return response.get();
        });
  }
}
