package elmsail.storage;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.storage.RecordStore.Change;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The changes of one call of {@link RecordStore#write}, pending until they are on disk. */
final class PendingWrite {
  private static final int MAX_NAME_BYTES = 1024;

  /** Completes, on the executor of the store, once the changes are on disk or have failed. */
  final CompletableFuture<Void> completion = new CompletableFuture<>();

  /** The changes in their order; empty until the write is queued. */
  final List<Item> records = new ArrayList<>();

  /** The size of the changes as records of a file, in bytes. */
  final long bytes;

  /** Whether at least one change sets a value; false if all are removals. */
  final boolean hasValues;

  private final List<Change> changes;
  private final byte[][] namesUtf8;

  /**
   * One change.
   *
   * @param bytes null for a removal
   */
  record Item(IndexEntry entry, byte[] nameUtf8, long seq, byte[] bytes) {}

  /**
   * Encodes the names of the changes.
   *
   * @throws ElmsailException of code {@code INTERNAL} if a name is empty or too long
   */
  PendingWrite(List<Change> changes) {
    this.changes = changes;
    namesUtf8 = new byte[changes.size()][];
    long total = 0;
    boolean values = false;
    for (int i = 0; i < namesUtf8.length; i++) {
      Change change = changes.get(i);
      namesUtf8[i] = encodeName(change.name());
      values |= change.bytes() != null;
      total += VersionWriter.recordBytes(namesUtf8[i], change.bytes());
    }
    bytes = total;
    hasValues = values;
  }

  private static byte[] encodeName(String name) {
    byte[] utf8 = VersionWriter.toUtf8(name);
    if (utf8.length == 0 || utf8.length > MAX_NAME_BYTES) {
      throw new ElmsailException(
          ErrorCode.INTERNAL,
          "record name: expected 1 to " + MAX_NAME_BYTES + " bytes, found " + utf8.length);
    }
    return utf8;
  }

  /**
   * Adds the changes to the index as pending, so that later reads return them. Called with the lock
   * of the store.
   *
   * @param firstSeq the sequence number of the first change
   * @return the sequence number after the last change
   */
  long addTo(RecordIndex index, long firstSeq) {
    long seq = firstSeq;
    for (int i = 0; i < namesUtf8.length; i++) {
      Change change = changes.get(i);
      IndexEntry entry = index.entryFor(change.name());
      entry.pendingSeq = seq++;
      entry.pendingBytes = change.bytes();
      records.add(new Item(entry, namesUtf8[i], entry.pendingSeq, entry.pendingBytes));
    }
    return seq;
  }

  /** Undoes {@link #addTo} after the write has failed. Called with the lock of the store. */
  void removeFrom(RecordIndex index) {
    for (Item item : records) {
      item.entry().pendingSeq = 0;
      item.entry().pendingBytes = null;
      index.prune(item.entry());
    }
  }
}
