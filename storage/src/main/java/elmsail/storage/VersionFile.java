package elmsail.storage;

import java.util.ArrayList;
import java.util.List;

/** One file of a version that is safe. */
final class VersionFile {
  final long version;
  final long bytes;

  /** Names of the records that were written here, whether newer ones lie elsewhere or not. */
  final List<IndexEntry> values = new ArrayList<>();

  final List<IndexEntry> removals = new ArrayList<>();

  /** Bytes of records that are still the newest of their names. */
  long liveBytes;

  /** A record of it could not be read: it stays as it is. */
  boolean unreadable;

  VersionFile(long version, long bytes) {
    this.version = version;
    this.bytes = bytes;
  }

  long deadBytes() {
    return bytes - liveBytes;
  }
}
