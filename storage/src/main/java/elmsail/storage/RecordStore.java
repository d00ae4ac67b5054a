package elmsail.storage;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * A folder of named records that outlive the process and the power. Changes are gathered while the
 * disk is busy, then written as one file of a new version: written aside, synced, renamed, its
 * folder synced; only then are their futures completed (on the executor given). Called from one
 * thread.
 */
public interface RecordStore extends AutoCloseable {

  /**
   * A change: null bytes remove the record. Big ones are kept on disk alone and read when asked
   * for.
   */
  record Change(String name, byte[] bytes) {}

  /** Drawn at random when the folder was empty, and kept in it. */
  long instanceId();

  /** Whether the folder was empty when it was opened. */
  boolean isNew();

  /**
   * Done once all of them are safe, together with every earlier change; fails with code DISK, or
   * FULL.
   */
  CompletableFuture<Void> write(List<Change> changes);

  /**
   * Written or being written; null if there is none. Reads the disk for records over 4 KB, else
   * memory.
   */
  byte[] read(String name);

  /**
   * Names and bytes of the records behind {@code after}, in order, until about {@code mostBytes}.
   */
  Map<String, byte[]> page(String after, int maxBytes);

  /** Names that begin so, in order. */
  Iterable<String> names(String prefix);

  /** How many names begin so. */
  default int count(String prefix) {
    int count = 0;
    for (String name : names(prefix)) {
      count++;
    }
    return count;
  }

  /** The bytes of all version files in the folder. */
  long bytesOnDisk();

  @Override
  void close();
}
