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
  static final int SMALL_BYTES = 4 * 1024;

  final TreeMap<String, IndexEntry> names = new TreeMap<>();
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

  IndexEntry named(String name) {
    IndexEntry known = names.get(name);
    if (known == null) {
      known = new IndexEntry(name);
      names.put(name, known);
    }
    return known;
  }

  void fileIsSafe(VersionFile file) {
    files.put(file.version, file);
    diskBytes += file.bytes;
  }

  /**
   * A record that lies in a safe file; it is the newest of its name if none has a higher number.
   */
  void recordIsSafe(IndexEntry named, RecordLocation place) {
    VersionFile file = place.file();
    if (place.value()) {
      named.copies++;
      file.values.add(named);
    } else {
      file.removals.add(named);
    }
    RecordLocation before = named.safe;
    if (before != null && before.seq() > place.seq()) {
      return;
    }
    if (before != null) {
      unsettle(before);
      if (before.seq() != place.seq()) {
        cache.remove(before.seq());
      }
    }
    named.safe = place;
    file.liveBytes += place.length();
    liveBytes += place.length();
  }

  /** The file's name was removed from the folder, which was not synced yet. */
  void fileIsRemoved(VersionFile file) {
    files.remove(file.version);
    diskBytes -= file.bytes;
    removedUnsynced.add(file);
  }

  /** What was removed from the folder cannot come back from here on. */
  void folderIsSynced() {
    for (VersionFile file : removedUnsynced) {
      for (IndexEntry named : file.values) {
        named.copies--;
        tidy(named);
      }
    }
    removedUnsynced.clear();
  }

  /** Forgets a removal that nothing needs any more, and a name of which nothing is left. */
  void tidy(IndexEntry named) {
    if (named.copies > 0) {
      return;
    }
    if (named.safe != null && !named.safe.value()) {
      unsettle(named.safe);
      named.safe = null;
    }
    if (named.safe == null && named.waitingSeq == 0) {
      names.remove(named.name, named);
    }
  }

  /** After the folder was read: drops what is needed no more. */
  void tidyAll() {
    Iterator<IndexEntry> all = new ArrayList<>(names.values()).iterator();
    while (all.hasNext()) {
      tidy(all.next());
    }
  }

  /** The live records of a file, in the order written; values first. */
  List<IndexEntry> live(VersionFile file) {
    List<IndexEntry> live = new ArrayList<>();
    for (IndexEntry named : file.values) {
      if (named.safe != null && named.safe.file() == file) {
        live.add(named);
      }
    }
    for (IndexEntry named : file.removals) {
      if (named.safe != null && named.safe.file() == file) {
        live.add(named);
      }
    }
    return live;
  }

  private void unsettle(RecordLocation place) {
    place.file().liveBytes -= place.length();
    liveBytes -= place.length();
  }
}
