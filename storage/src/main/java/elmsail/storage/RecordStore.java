package elmsail.storage;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Named records that survive the end of the process and a power loss. Changes that are made while
 * the disk is busy are written together as one batch; the future of a write completes once its
 * batch is durable, on the executor that the store was opened with. All methods are called from one
 * thread.
 */
public interface RecordStore extends AutoCloseable {

  /**
   * A change of one record.
   *
   * @param name not empty
   * @param bytes the new value, which must not be modified afterwards; null removes the record
   */
  record Change(String name, byte[] bytes) {}

  /** A random id, generated when the store was created and kept in it. */
  long instanceId();

  /** Whether this opening created the store, and so generated a new instance id. */
  boolean isNew();

  /**
   * Writes changes atomically. Reads return the new values at once, and the durable values again if
   * the write fails.
   *
   * @return completes once these and all earlier changes are durable; fails with {@code
   *     STORAGE_FAILURE}, or with {@code RESOURCE_EXHAUSTED} if there is no space
   */
  CompletableFuture<Void> write(List<Change> changes);

  /**
   * The newest value of a record, durable or pending; null if there is none. Waits for the disk if
   * the value is over 4 KB and not cached.
   *
   * @throws elmsail.runtime.ElmsailException of code {@code STORAGE_FAILURE} if it cannot be read
   */
  byte[] read(String name);

  /**
   * The records whose names follow a name, in the order of their names.
   *
   * @param after null to begin with the first record
   * @param maxBytes the page ends with the record that reaches this size
   */
  Map<String, byte[]> page(String after, int maxBytes);

  /** The names of the records that begin with a prefix, in order. */
  Iterable<String> names(String prefix);

  /** The number of records whose names begin with a prefix. */
  default int count(String prefix) {
    int count = 0;
    for (String unused : names(prefix)) {
      count++;
    }
    return count;
  }

  /** The size of the store on disk in bytes. */
  long bytesOnDisk();

  @Override
  void close();
}
