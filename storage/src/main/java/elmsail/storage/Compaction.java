package elmsail.storage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses what to compact next: records of mostly dead files while there are too many dead bytes,
 * small files while there are too many files. Called with the lock of the store; changes nothing.
 */
final class Compaction {
  /**
   * Small files are merged only if there are more files than this number, plus one for each {@link
   * #LIVE_BYTES_PER_FILE} of live records.
   */
  static final int BASE_FILES = 48;

  private static final int MAX_STEP_BYTES = 2 * 1024 * 1024;
  private static final int MAX_DEAD_BYTES = 1024 * 1024;
  private static final long LIVE_BYTES_PER_FILE = 1024 * 1024;

  /** Size of the header and the end of a file, which rewriting doesn't free. */
  private static final int FRAME_BYTES = 128;

  private final long maxStepBytes;
  private final long maxDeadBytes;

  /**
   * Limits the bytes moved by a step, and the tolerated dead bytes, to a twentieth of the limit.
   */
  Compaction(long maxBytes) {
    maxStepBytes = Math.min(MAX_STEP_BYTES, maxBytes / 20);
    maxDeadBytes = Math.min(MAX_DEAD_BYTES, maxBytes / 20);
  }

  /**
   * Records to be copied into one new file; after that, files without live records are deleted.
   *
   * @param movedBytes the total size of the records in bytes
   */
  record Step(List<IndexEntry> moved, long movedBytes) {}

  /**
   * The next step; null if none is worthwhile.
   *
   * @param spaceNeeded whether a pending write needs space, so that any dead bytes count
   */
  Step nextStep(RecordIndex index, boolean spaceNeeded) {
    long currentDeadBytes = index.diskBytes() - index.liveBytes();
    if (spaceNeeded || currentDeadBytes > index.liveBytes() + maxDeadBytes) {
      Step step = stepOfEmptiestFiles(index);
      if (step != null) {
        return step;
      }
    }
    return index.files.size() > BASE_FILES + index.liveBytes() / LIVE_BYTES_PER_FILE
        ? stepOfSmallestFiles(index)
        : null;
  }

  /**
   * The live records of the files with the lowest share of live bytes, as many as fit in a step.
   */
  private Step stepOfEmptiestFiles(RecordIndex index) {
    List<VersionFile> files = candidates(index);
    files.removeIf(file -> file.deadBytes() - FRAME_BYTES <= file.bytes / 20);
    files.sort(
        Comparator.comparingDouble((VersionFile file) -> (double) file.liveBytes / file.bytes)
            .thenComparingLong(file -> file.version));
    if (files.isEmpty()) {
      return null;
    }
    List<IndexEntry> moved = new ArrayList<>();
    long bytes = 0;
    for (VersionFile file : files) {
      if (bytes > 0 && bytes + file.liveBytes > maxStepBytes) {
        break;
      }
      for (IndexEntry entry : index.liveRecords(file)) {
        int length = entry.durable.length();
        if (bytes > 0 && bytes + length > maxStepBytes) {
          return new Step(moved, bytes);
        }
        moved.add(entry);
        bytes += length;
      }
    }
    return new Step(moved, bytes);
  }

  /**
   * All live records of the smallest files that fit in a step; null if fewer than two files fit and
   * none of them is empty.
   */
  private Step stepOfSmallestFiles(RecordIndex index) {
    List<VersionFile> files = candidates(index);
    files.sort(
        Comparator.comparingLong((VersionFile file) -> file.liveBytes)
            .thenComparingLong(file -> file.version));
    List<IndexEntry> moved = new ArrayList<>();
    long bytes = 0;
    int completeFiles = 0;
    boolean empty = false;
    for (VersionFile file : files) {
      if (bytes + file.liveBytes > maxStepBytes) {
        break;
      }
      completeFiles++;
      empty |= file.liveBytes == 0;
      moved.addAll(index.liveRecords(file));
      bytes += file.liveBytes;
    }
    return completeFiles >= 2 || empty ? new Step(moved, bytes) : null;
  }

  /**
   * All readable files but the newest, which must stay: it holds the next sequence number and the
   * list of void versions.
   */
  private static List<VersionFile> candidates(RecordIndex index) {
    List<VersionFile> files = new ArrayList<>();
    for (VersionFile file : index.files.headMap(index.files.lastKey()).values()) {
      if (!file.unreadable) {
        files.add(file);
      }
    }
    return files;
  }
}
