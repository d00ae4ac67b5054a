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
 * The version files of a directory: reads the existing files when the directory is opened, and
 * writes new files. Used by one thread at a time: the opening thread, then the disk thread; only
 * {@link #read} is called by both.
 *
 * <p>States that a power loss may leave, and why they are safe: a file gets its final name only
 * after its content was synced. So a file under its final name whose checksum is wrong means a
 * faulty disk, even if it is the newest file; the directory is then not opened. A rename that was
 * not synced may be kept or lost: no write in such a file was acknowledged. The file of a version
 * whose write failed may reappear; until its deletion is durable, every later version lists it as
 * void.
 */
final class StorageDirectory {
  private static final String NAME_PREFIX = "v-";
  private static final String PARTIAL_SUFFIX = ".part";
  private static final int VERSION_DIGITS = 16;

  private final Path directory;
  private final FileSystem fileSystem;

  /** Collects small records, so that one system call writes many of them. */
  private final ByteBuffer writeBuffer = ByteBuffer.allocate(VersionWriter.CHUNK_BYTES);

  /** Versions whose write failed and whose deletion may not be durable yet. */
  private final TreeSet<Long> voids = new TreeSet<>();

  /** Void versions whose files are deleted; the sync of the current write makes this durable. */
  private final List<Long> deletedVoidVersions = new ArrayList<>();

  private long instanceId;
  private boolean isNew;
  private long nextVersion = 1;
  private long nextSeq = 1;

  StorageDirectory(Path directory, FileSystem fileSystem) {
    this.directory = directory;
    this.fileSystem = fileSystem;
  }

  /** The path, for log lines. */
  @Override
  public String toString() {
    return directory.toString();
  }

  /** The id stored in all files. */
  long instanceId() {
    return instanceId;
  }

  /** Whether the directory had no version files when it was opened. */
  boolean isNew() {
    return isNew;
  }

  /** A sequence number above those of all acknowledged changes. */
  long nextSeq() {
    return nextSeq;
  }

  /** Writes the records of one file. */
  interface RecordSource {
    void writeTo(VersionWriter writer) throws IOException;
  }

  /**
   * Reads all files into the index, or writes the first one if there is none.
   *
   * @param newInstanceId stored if there is no file
   * @throws ElmsailException of code {@code STORAGE_FAILURE} if a file is corrupt or an I/O
   *     operation fails
   */
  void open(RecordIndex index, long newInstanceId) {
    try {
      fileSystem.createDirectories(directory);
      List<Long> versions = listVersions();
      // The directory is synced before its content is used.
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
          ErrorCode.STORAGE_FAILURE, "directory " + directory + " cannot be opened: " + e, e);
    }
    index.pruneAll();
  }

  /**
   * Writes and syncs a file of the next version.
   *
   * @param nextSeqOfStore the sequence number of the next change, stored in the file
   * @throws IOException if the file may not be durable; its version is then void
   */
  VersionFile write(long nextSeqOfStore, RecordSource source) throws IOException {
    long version = nextVersion++;
    deleteVoidVersions();
    Path partial = directory.resolve(fileName(version) + PARTIAL_SUFFIX);
    long bytes;
    boolean durable = false;
    try {
      try (FileSystem.Appender out = fileSystem.create(partial)) {
        VersionWriter writer =
            new VersionWriter(
                out, writeBuffer, version, instanceId, nextSeqOfStore, voidVersions());
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

  /** Deletes a file; the deletion is durable once the next file is written. */
  void delete(VersionFile file) throws IOException {
    fileSystem.delete(pathOf(file.version));
  }

  /** Reads a value from its file; called by the caller's thread and the disk thread. */
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
        // The version stays void; the deletion is retried before the next file is written.
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
              ErrorCode.STORAGE_FAILURE, "directory " + directory + ": unexpected file " + name, e);
        }
      }
    }
    return versions;
  }

  private void read(long version, RecordIndex index, Set<Long> voidVersions) throws IOException {
    VersionReader reader = new VersionReader(fileSystem, pathOf(version));
    if (reader.version != version || instanceId != 0 && reader.instanceId != instanceId) {
      throw new ElmsailException(
          ErrorCode.STORAGE_FAILURE,
          "file "
              + pathOf(version)
              + ": expected version "
              + version
              + " of instance "
              + instanceId
              + ", found "
              + reader.version
              + " of "
              + reader.instanceId);
    }
    instanceId = reader.instanceId;
    nextSeq = Math.max(nextSeq, reader.nextSeq);
    for (long voidVersion : reader.voids) {
      voidVersions.add(voidVersion);
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
