package elmsail.storage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Chooses which files to rewrite next, and how much of them; looks only. */
final class Compaction {
  static final int BASE_FILES = 48;
  private static final int MAX_STEP_BYTES = 2 * 1024 * 1024;
  private static final int MAX_DEAD_BYTES = 1024 * 1024;
  private static final long LIVE_BYTES_PER_FILE = 1024 * 1024;

  /** Head and end of a file, which a rewritten one has too. */
  private static final int FRAME_BYTES = 128;

  private final long stepBytes;
  private final long deadBytes;

  Compaction(long maxBytes) {
    stepBytes = Math.min(MAX_STEP_BYTES, maxBytes / 20);
    deadBytes = Math.min(MAX_DEAD_BYTES, maxBytes / 20);
  }

  /**
   * RecordStore to be written into one new file; files of which nothing live is left go after that.
   */
  record Step(List<IndexEntry> moved, long movedBytes) {}

  /** Null if nothing is to be gained. {@code pressed}: the room is needed by what waits. */
  Step nextStep(RecordIndex index, boolean spaceNeeded) {
    long dead = index.diskBytes() - index.liveBytes();
    if (spaceNeeded || dead > index.liveBytes() + deadBytes) {
      Step step = stepOfEmptiestFiles(index);
      if (step != null) {
        return step;
      }
    }
    return index.files.size() > BASE_FILES + index.liveBytes() / LIVE_BYTES_PER_FILE
        ? stepOfSmallestFiles(index)
        : null;
  }

  /** From the file with the smallest live part, and all others that fit into the step. */
  private Step stepOfEmptiestFiles(RecordIndex index) {
    List<VersionFile> files = candidates(index);
    files.removeIf(f -> f.deadBytes() - FRAME_BYTES <= f.bytes / 20);
    files.sort(
        Comparator.comparingDouble((VersionFile f) -> (double) f.liveBytes / f.bytes)
            .thenComparingLong(f -> f.version));
    if (files.isEmpty()) {
      return null;
    }
    List<IndexEntry> moved = new ArrayList<>();
    long bytes = 0;
    for (VersionFile file : files) {
      if (bytes > 0 && bytes + file.liveBytes > stepBytes) {
        break;
      }
      for (IndexEntry entry : index.liveRecords(file)) {
        int length = entry.durable.length();
        if (bytes > 0 && bytes + length > stepBytes) {
          return new Step(moved, bytes);
        }
        moved.add(entry);
        bytes += length;
      }
    }
    return new Step(moved, bytes);
  }

  /**
   * The smallest whole files that fit into the step, if they are at least two or hold nothing live.
   */
  private Step stepOfSmallestFiles(RecordIndex index) {
    List<VersionFile> files = candidates(index);
    files.sort(
        Comparator.comparingLong((VersionFile f) -> f.liveBytes).thenComparingLong(f -> f.version));
    List<IndexEntry> moved = new ArrayList<>();
    long bytes = 0;
    int completeFiles = 0;
    boolean empty = false;
    for (VersionFile file : files) {
      if (bytes + file.liveBytes > stepBytes) {
        break;
      }
      completeFiles++;
      empty |= file.liveBytes == 0;
      moved.addAll(index.liveRecords(file));
      bytes += file.liveBytes;
    }
    return completeFiles >= 2 || empty ? new Step(moved, bytes) : null;
  }

  /** The newest stays: it tells the numbers that were used, and what is void. */
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
