package elmsail.storage;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The version files in a folder: reads them when it is opened, writes new ones. Used by one thread
 * at a time.
 *
 * <p>What a loss of power may leave, and what is made of it: a file gets its last name only after
 * all of it was synced, so one under its last name that fails its check tells of a broken disk,
 * also when it is the newest; the folder is then not opened. A name that was given but not yet
 * synced may be there or not: nothing in it was acknowledged. A version whose writing failed may be
 * there later; until its removal is safe, every later version calls it void.
 */
final class StorageDirectory {
  private static final String PREFIX = "v-";
  private static final String PART = ".part";
  private static final int DIGITS = 16;

  private final Path folder;
  private final Files files;

  /** Gathers small records, so that they cost one call of the system. */
  private final ByteBuffer chunk = ByteBuffer.allocate(VersionWriter.CHUNK_BYTES);

  private final TreeSet<Long> voids = new TreeSet<>();
  private final List<Long> voidsRemoved = new ArrayList<>();
  private long instanceId;
  private boolean fresh;
  private long nextVersion = 1;
  private long nextSeq = 1;

  StorageDirectory(Path folder, Files files) {
    this.folder = folder;
    this.files = files;
  }

  long instanceId() {
    return instanceId;
  }

  boolean fresh() {
    return fresh;
  }

  /** Above every sequence number that was ever acknowledged here. */
  long nextSeq() {
    return nextSeq;
  }

  /** Writes the records of one file. */
  interface Filler {
    void fill(VersionWriter to) throws IOException;
  }

  /**
   * Reads the folder, or begins it with this life.
   *
   * @throws ElmsailException of code DISK: a file is torn, or the disk refuses
   */
  void open(RecordIndex into, long newLife) {
    try {
      files.makeFolder(folder);
      List<Long> versions = versions();
      // What is there, or gone, stays so from here on: what is told from now on may build on it.
      if (versions.isEmpty()) {
        files.syncFolder(folder);
        fresh = true;
        instanceId = newLife;
        into.fileIsSafe(write(nextSeq, to -> {}));
        return;
      }
      Collections.sort(versions, Collections.reverseOrder());
      nextVersion = versions.get(0) + 1;
      instanceId = 0;
      Set<Long> isVoid = new HashSet<>();
      for (long version : versions) {
        if (isVoid.contains(version)) {
          files.remove(path(version));
        } else {
          read(version, into, isVoid);
        }
      }
      files.syncFolder(folder);
    } catch (IOException e) {
      throw new ElmsailException(ErrorCode.STORAGE_FAILURE, "the folder of records cannot be opened: " + e, e);
    }
    into.tidyAll();
  }

  /** A safe file of the next version; throws if it may not be safe, and calls the version void. */
  VersionFile write(long seqAfter, Filler filler) throws IOException {
    long version = nextVersion++;
    removeVoids();
    Path part = folder.resolve(name(version) + PART);
    long bytes;
    boolean safe = false;
    try {
      try (Files.Appender out = files.create(part)) {
        VersionWriter to =
            new VersionWriter(out, chunk, version, instanceId, seqAfter, voidVersions());
        filler.fill(to);
        bytes = to.finish();
      }
      files.rename(part, path(version));
      files.syncFolder(folder);
      safe = true;
    } finally {
      if (!safe) {
        voids.add(version);
      }
    }
    voids.removeAll(voidsRemoved);
    return new VersionFile(version, bytes);
  }

  void remove(VersionFile file) throws IOException {
    files.remove(path(file.version));
  }

  /** Reads a big value; called by the thread of the caller as well. */
  byte[] read(String name, RecordLocation place) throws IOException {
    return VersionReader.one(
        files, path(place.file().version), place.at(), place.length(), name, place.seq());
  }

  private void removeVoids() {
    voidsRemoved.clear();
    for (long version : voids) {
      try {
        files.remove(folder.resolve(name(version) + PART));
        files.remove(path(version));
        voidsRemoved.add(version);
      } catch (IOException e) {
        // It stays void, and is tried again before the next file.
        return;
      }
    }
  }

  private long[] voidVersions() {
    long[] all = new long[voids.size()];
    int next = 0;
    for (long version : voids) {
      all[next++] = version;
    }
    return all;
  }

  private List<Long> versions() throws IOException {
    List<Long> versions = new ArrayList<>();
    for (String name : files.list(folder)) {
      if (!name.startsWith(PREFIX)) {
        continue;
      }
      if (name.endsWith(PART)) {
        files.remove(folder.resolve(name));
      } else if (name.length() == PREFIX.length() + DIGITS) {
        try {
          versions.add(Long.parseLong(name.substring(PREFIX.length())));
        } catch (NumberFormatException e) {
          throw new ElmsailException(ErrorCode.STORAGE_FAILURE, "a file that is none of ours: " + name, e);
        }
      }
    }
    return versions;
  }

  private void read(long version, RecordIndex into, Set<Long> isVoid) throws IOException {
    VersionReader reader = new VersionReader(files, path(version));
    if (reader.version != version || instanceId != 0 && reader.instanceId != instanceId) {
      throw new ElmsailException(ErrorCode.STORAGE_FAILURE, name(version) + " is not of this folder");
    }
    instanceId = reader.instanceId;
    nextSeq = Math.max(nextSeq, reader.nextSeq);
    for (long v : reader.voids) {
      isVoid.add(v);
    }
    VersionFile file = new VersionFile(version, reader.size());
    into.fileIsSafe(file);
    reader.records(
        RecordIndex.SMALL_BYTES,
        (name, seq, value, bytes, at, length) ->
            into.recordIsSafe(
                into.named(name), new RecordLocation(seq, value, bytes, file, at, length)));
  }

  private Path path(long version) {
    return folder.resolve(name(version));
  }

  private static String name(long version) {
    String digits = Long.toString(version);
    return PREFIX + "0".repeat(DIGITS - digits.length()) + digits;
  }
}
