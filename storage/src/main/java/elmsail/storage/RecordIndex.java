package elmsail.storage;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.TreeMap;

/**
 * All names and where their bytes are. Guarded by the lock of {@link DirectoryRecordStore}.
 *
 * <p>A removal is kept, on disk too, while a value of its name lies in any file that is there or
 * could be there again after a loss of power: files removed count until their folder was synced.
 */
final class RecordIndex {
  /** Values up to this are kept in memory. */
  static final int MAX_IN_MEMORY_BYTES = 4 * 1024;

  final TreeMap<String, IndexEntry> entries = new TreeMap<>();
  final TreeMap<Long, VersionFile> files = new TreeMap<>();
  final ByteCache cache = new ByteCache();
  private final List<VersionFile> removedUnsynced = new ArrayList<>();
  private long diskBytes;
  private long liveBytes;

  long diskBytes() {
    return diskBytes;
  }

  long liveBytes() {
    return liveBytes;
  }

  IndexEntry entryFor(String name) {
    IndexEntry known = entries.get(name);
    if (known == null) {
      known = new IndexEntry(name);
      entries.put(name, known);
    }
    return known;
  }

  void addFile(VersionFile file) {
    files.put(file.version, file);
    diskBytes += file.bytes;
  }

  /**
   * A record that lies in a safe file; it is the newest of its name if none has a higher number.
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

  /** The file's name was removed from the folder, which was not synced yet. */
  void removeFile(VersionFile file) {
    files.remove(file.version);
    diskBytes -= file.bytes;
    removedUnsynced.add(file);
  }

  /** What was removed from the folder cannot come back from here on. */
  void onDirectorySynced() {
    for (VersionFile file : removedUnsynced) {
      for (IndexEntry entry : file.values) {
        entry.valuesOnDisk--;
        prune(entry);
      }
    }
    removedUnsynced.clear();
  }

  /** Forgets a removal that nothing needs any more, and a name of which nothing is left. */
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

  /** After the folder was read: drops what is needed no more. */
  void pruneAll() {
    Iterator<IndexEntry> all = new ArrayList<>(entries.values()).iterator();
    while (all.hasNext()) {
      prune(all.next());
    }
  }

  /** The live records of a file, in the order written; values first. */
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
