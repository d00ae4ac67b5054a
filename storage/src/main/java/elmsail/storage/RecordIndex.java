package elmsail.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * The index of all records: their names, and the locations of their bytes. Guarded by the lock of
 * {@link DirectoryRecordStore}.
 *
 * <p>A removal is kept, in memory and on disk, as long as an older value of its name is in a file
 * that exists or could reappear after a power loss. A deleted file can reappear until the directory
 * is synced.
 */
final class RecordIndex {
  /** Values up to this size are kept in memory. */
  static final int MAX_IN_MEMORY_BYTES = 4 * 1024;

  final TreeMap<String, IndexEntry> entries = new TreeMap<>();

  /** The files in the directory, by their versions. */
  final TreeMap<Long, VersionFile> files = new TreeMap<>();

  final ByteCache cache = new ByteCache();

  /** Files that were deleted since the last sync of the directory. */
  private final List<VersionFile> removedUnsynced = new ArrayList<>();

  private long diskBytes;
  private long liveBytes;

  /** The total size of all files in bytes. */
  long diskBytes() {
    return diskBytes;
  }

  /** The total size in bytes of the live records, each the newest of its name. */
  long liveBytes() {
    return liveBytes;
  }

  /** Returns the entry of a name; creates it if there is none. */
  IndexEntry entryFor(String name) {
    IndexEntry entry = entries.get(name);
    if (entry == null) {
      entry = new IndexEntry(name);
      entries.put(name, entry);
    }
    return entry;
  }

  /** Adds a file that was written and synced, or found in the directory. */
  void addFile(VersionFile file) {
    files.put(file.version, file);
    diskBytes += file.bytes;
  }

  /**
   * Adds a record of a durable file: it is live unless the index has a record of the same name with
   * a higher sequence number.
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

  /** Removes a file that was deleted; the directory is not synced yet. */
  void removeFile(VersionFile file) {
    files.remove(file.version);
    diskBytes -= file.bytes;
    removedUnsynced.add(file);
  }

  /** Called after a sync of the directory: the files deleted before can't reappear. */
  void onDirectorySynced() {
    for (VersionFile file : removedUnsynced) {
      for (IndexEntry entry : file.values) {
        entry.valuesOnDisk--;
        prune(entry);
      }
    }
    removedUnsynced.clear();
  }

  /**
   * Drops the removal of an entry if it isn't needed any more, and then the entry if it is empty.
   */
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

  /** Prunes all entries, after all files were read. */
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
