package elmsail.storage;

import java.util.ArrayList;
import java.util.List;

/** A durable version file of the directory. Guarded by the lock of {@link DirectoryRecordStore}. */
final class VersionFile {
  final long version;
  final long bytes;

  /** The entries of all values in this file, live or not. */
  final List<IndexEntry> values = new ArrayList<>();

  /** The entries of all removals in this file, live or not. */
  final List<IndexEntry> removals = new ArrayList<>();

  /** The size in bytes of the live records, each the newest of its name. */
  long liveBytes;

  /** Whether a record of this file could not be read; compaction then skips the file. */
  boolean unreadable;

  VersionFile(long version, long bytes) {
    this.version = version;
    this.bytes = bytes;
  }

  /** The number of bytes in this file that belong to no live record. */
  long deadBytes() {
    return bytes - liveBytes;
  }
}
