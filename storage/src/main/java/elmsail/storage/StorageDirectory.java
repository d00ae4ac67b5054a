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
  private static final String NAME_PREFIX = "v-";
  private static final String PARTIAL_SUFFIX = ".part";
  private static final int VERSION_DIGITS = 16;

  private final Path directory;
  private final FileSystem fileSystem;

  /** Gathers small records, so that they cost one call of the system. */
  private final ByteBuffer writeBuffer = ByteBuffer.allocate(VersionWriter.CHUNK_BYTES);

  private final TreeSet<Long> voids = new TreeSet<>();
  private final List<Long> deletedVoidVersions = new ArrayList<>();
  private long instanceId;
  private boolean isNew;
  private long nextVersion = 1;
  private long nextSeq = 1;

  StorageDirectory(Path directory, FileSystem fileSystem) {
    this.directory = directory;
    this.fileSystem = fileSystem;
  }

  long instanceId() {
    return instanceId;
  }

  boolean isNew() {
    return isNew;
  }

  /** Above every sequence number that was ever acknowledged here. */
  long nextSeq() {
    return nextSeq;
  }

  /** Writes the records of one file. */
  interface RecordSource {
    void writeTo(VersionWriter writer) throws IOException;
  }

  /**
   * Reads the folder, or begins it with this life.
   *
   * @throws ElmsailException of code DISK: a file is torn, or the disk refuses
   */
  void open(RecordIndex index, long newInstanceId) {
    try {
      fileSystem.createDirectories(directory);
      List<Long> versions = listVersions();
      // What is there, or gone, stays so from here on: what is told from now on may build on it.
      if (versions.isEmpty()) {
        fileSystem.syncDirectory(directory);
        isNew = true;
        instanceId = newInstanceId;
        index.addFile(write(nextSeq, writer -> {}));
        return;
      }
      Collections.sort(versions, Collections.reverseOrder());
      nextVersion = versions.get(0) + 1;
      instanceId = 0;
      Set<Long> voidVersions = new HashSet<>();
      for (long version : versions) {
        if (voidVersions.contains(version)) {
          fileSystem.delete(pathOf(version));
        } else {
          read(version, index, voidVersions);
        }
      }
      fileSystem.syncDirectory(directory);
    } catch (IOException e) {
      throw new ElmsailException(
          ErrorCode.STORAGE_FAILURE, "the folder of records cannot be opened: " + e, e);
    }
    index.pruneAll();
  }

  /** A safe file of the next version; throws if it may not be safe, and calls the version void. */
  VersionFile write(long seqAfter, RecordSource source) throws IOException {
    long version = nextVersion++;
    deleteVoidVersions();
    Path partial = directory.resolve(fileName(version) + PARTIAL_SUFFIX);
    long bytes;
    boolean durable = false;
    try {
      try (FileSystem.Appender out = fileSystem.create(partial)) {
        VersionWriter writer =
            new VersionWriter(out, writeBuffer, version, instanceId, seqAfter, voidVersions());
        source.writeTo(writer);
        bytes = writer.finish();
      }
      fileSystem.rename(partial, pathOf(version));
      fileSystem.syncDirectory(directory);
      durable = true;
    } finally {
      if (!durable) {
        voids.add(version);
      }
    }
    voids.removeAll(deletedVoidVersions);
    return new VersionFile(version, bytes);
  }

  void delete(VersionFile file) throws IOException {
    fileSystem.delete(pathOf(file.version));
  }

  /** Reads a big value; called by the thread of the caller as well. */
  byte[] read(String name, RecordLocation location) throws IOException {
    return VersionReader.readRecord(
        fileSystem,
        pathOf(location.file().version),
        location.offset(),
        location.length(),
        name,
        location.seq());
  }

  private void deleteVoidVersions() {
    deletedVoidVersions.clear();
    for (long version : voids) {
      try {
        fileSystem.delete(directory.resolve(fileName(version) + PARTIAL_SUFFIX));
        fileSystem.delete(pathOf(version));
        deletedVoidVersions.add(version);
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

  private List<Long> listVersions() throws IOException {
    List<Long> versions = new ArrayList<>();
    for (String name : fileSystem.list(directory)) {
      if (!name.startsWith(NAME_PREFIX)) {
        continue;
      }
      if (name.endsWith(PARTIAL_SUFFIX)) {
        fileSystem.delete(directory.resolve(name));
      } else if (name.length() == NAME_PREFIX.length() + VERSION_DIGITS) {
        try {
          versions.add(Long.parseLong(name.substring(NAME_PREFIX.length())));
        } catch (NumberFormatException e) {
          throw new ElmsailException(
              ErrorCode.STORAGE_FAILURE, "a file that is none of ours: " + name, e);
        }
      }
    }
    return versions;
  }

  private void read(long version, RecordIndex index, Set<Long> voidVersions) throws IOException {
    VersionReader reader = new VersionReader(fileSystem, pathOf(version));
    if (reader.version != version || instanceId != 0 && reader.instanceId != instanceId) {
      throw new ElmsailException(
          ErrorCode.STORAGE_FAILURE, fileName(version) + " is not of this folder");
    }
    instanceId = reader.instanceId;
    nextSeq = Math.max(nextSeq, reader.nextSeq);
    for (long v : reader.voids) {
      voidVersions.add(v);
    }
    VersionFile file = new VersionFile(version, reader.size());
    index.addFile(file);
    reader.readRecords(
        RecordIndex.MAX_IN_MEMORY_BYTES,
        (name, seq, value, bytes, offset, length) ->
            index.addRecord(
                index.entryFor(name), new RecordLocation(seq, value, bytes, file, offset, length)));
  }

  private Path pathOf(long version) {
    return directory.resolve(fileName(version));
  }

  private static String fileName(long version) {
    String digits = Long.toString(version);
    return NAME_PREFIX + "0".repeat(VERSION_DIGITS - digits.length()) + digits;
  }
}
