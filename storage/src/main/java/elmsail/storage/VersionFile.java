package elmsail.storage;

import java.util.ArrayList;
import java.util.List;

/** One durable file of the directory. Guarded by the lock of {@link DirectoryRecordStore}. */
final class VersionFile {
  final long version;
  final long bytes;

  /** The names of the values in this file, be they the newest of their names or not. */
  final List<IndexEntry> values = new ArrayList<>();

  /** The names of the removals in this file, likewise. */
  final List<IndexEntry> removals = new ArrayList<>();

  /** The bytes of the records that are the newest of their names. */
  long liveBytes;

  /** Whether a record of it could not be read: the file is then left as it is. */
  boolean unreadable;

  VersionFile(long version, long bytes) {
    this.version = version;
    this.bytes = bytes;
  }

  /** The bytes that compaction would free. */
  long deadBytes() {
    return bytes - liveBytes;
  }
}
