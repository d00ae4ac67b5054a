package elmsail.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * The index of all records: their names, and where their bytes are. Guarded by the lock of {@link
 * DirectoryRecordStore}.
 *
 * <p>A removal is kept, on disk too, as long as a value of its name is in a file that exists or
 * could exist again after a power loss: deleted files count until their directory was synced.
 */
final class RecordIndex {
  /** Values up to this size are kept in memory. */
  static final int MAX_IN_MEMORY_BYTES = 4 * 1024;

  final TreeMap<String, IndexEntry> entries = new TreeMap<>();

  /** The files in the directory, by their versions. */
  final TreeMap<Long, VersionFile> files = new TreeMap<>();

  final ByteCache cache = new ByteCache();

  /** Files that were deleted since the directory was synced last. */
  private final List<VersionFile> removedUnsynced = new ArrayList<>();

  private long diskBytes;
  private long liveBytes;

  /** The bytes of all files. */
  long diskBytes() {
    return diskBytes;
  }

  /** The bytes of the records that are the newest of their names. */
  long liveBytes() {
    return liveBytes;
  }

  /** The entry of a name, made if there is none. */
  IndexEntry entryFor(String name) {
    IndexEntry entry = entries.get(name);
    if (entry == null) {
      entry = new IndexEntry(name);
      entries.put(name, entry);
    }
    return entry;
  }

  /** A file was written and synced, or found in the directory. */
  void addFile(VersionFile file) {
    files.put(file.version, file);
    diskBytes += file.bytes;
  }

  /**
   * Adds a record of a durable file: it is live unless one of a higher sequence number is known.
   */
  void addRecord(IndexEntry entry, RecordLocation location) {
    VersionFile file = location.file();
    if (location.isValue()) {
      entry.valuesOnDisk++;
      file.values.add(entry);
    } else {
      file.removals.add(entry);
    }
    RecordLocation before = entry.durable;
    if (before != null && before.seq() > location.seq()) {
      return;
    }
    if (before != null) {
      subtractLiveBytes(before);
      if (before.seq() != location.seq()) {
        cache.remove(before.seq());
      }
    }
    entry.durable = location;
    file.liveBytes += location.length();
    liveBytes += location.length();
  }

  /** A file was deleted, and the directory was not synced yet. */
  void removeFile(VersionFile file) {
    files.remove(file.version);
    diskBytes -= file.bytes;
    removedUnsynced.add(file);
  }

  /** The directory was synced: what was deleted before cannot come back. */
  void onDirectorySynced() {
    for (VersionFile file : removedUnsynced) {
      for (IndexEntry entry : file.values) {
        entry.valuesOnDisk--;
        prune(entry);
      }
    }
    removedUnsynced.clear();
  }

  /** Drops a removal that is needed no more, and then an entry of which nothing is left. */
  void prune(IndexEntry entry) {
    if (entry.valuesOnDisk > 0) {
      return;
    }
    if (entry.durable != null && !entry.durable.isValue()) {
      subtractLiveBytes(entry.durable);
      entry.durable = null;
    }
    if (entry.durable == null && entry.pendingSeq == 0) {
      entries.remove(entry.name, entry);
    }
  }

  /** Prunes all entries, after the directory was read. */
  void pruneAll() {
    for (IndexEntry entry : new ArrayList<>(entries.values())) {
      prune(entry);
    }
  }

  /** The live records of a file: values in the order written, then removals. */
  List<IndexEntry> liveRecords(VersionFile file) {
    List<IndexEntry> live = new ArrayList<>();
    for (IndexEntry entry : file.values) {
      if (entry.durable != null && entry.durable.file() == file) {
        live.add(entry);
      }
    }
    for (IndexEntry entry : file.removals) {
      if (entry.durable != null && entry.durable.file() == file) {
        live.add(entry);
      }
    }
    return live;
  }

  private void subtractLiveBytes(RecordLocation location) {
    location.file().liveBytes -= location.length();
    liveBytes -= location.length();
  }
}
