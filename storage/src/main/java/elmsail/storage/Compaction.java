package elmsail.storage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Chooses which files to rewrite next, and how much of them; looks only. */
final class Compaction {
  static final int FILES = 48;
  private static final int STEP_BYTES = 2 * 1024 * 1024;
  private static final int DEAD_BYTES = 1024 * 1024;
  private static final long FILE_BYTES = 1024 * 1024;

  /** Head and end of a file, which a rewritten one has too. */
  private static final int FRAME_BYTES = 128;

  private final long stepBytes;
  private final long deadBytes;

  Compaction(long mostBytes) {
    stepBytes = Math.min(STEP_BYTES, mostBytes / 20);
    deadBytes = Math.min(DEAD_BYTES, mostBytes / 20);
  }

  /**
   * RecordStore to be written into one new file; files of which nothing live is left go after that.
   */
  record Step(List<IndexEntry> moved, long movedBytes) {}

  /** Null if nothing is to be gained. {@code pressed}: the room is needed by what waits. */
  Step next(RecordIndex index, boolean pressed) {
    long dead = index.diskBytes() - index.liveBytes();
    if (pressed || dead > index.liveBytes() + deadBytes) {
      Step step = emptiest(index);
      if (step != null) {
        return step;
      }
    }
    return index.files.size() > FILES + index.liveBytes() / FILE_BYTES ? smallest(index) : null;
  }

  /** From the file with the smallest live part, and all others that fit into the step. */
  private Step emptiest(RecordIndex index) {
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
      for (IndexEntry named : index.live(file)) {
        int length = named.safe.length();
        if (bytes > 0 && bytes + length > stepBytes) {
          return new Step(moved, bytes);
        }
        moved.add(named);
        bytes += length;
      }
    }
    return new Step(moved, bytes);
  }

  /**
   * The smallest whole files that fit into the step, if they are at least two or hold nothing live.
   */
  private Step smallest(RecordIndex index) {
    List<VersionFile> files = candidates(index);
    files.sort(
        Comparator.comparingLong((VersionFile f) -> f.liveBytes).thenComparingLong(f -> f.version));
    List<IndexEntry> moved = new ArrayList<>();
    long bytes = 0;
    int whole = 0;
    boolean empty = false;
    for (VersionFile file : files) {
      if (bytes + file.liveBytes > stepBytes) {
        break;
      }
      whole++;
      empty |= file.liveBytes == 0;
      moved.addAll(index.live(file));
      bytes += file.liveBytes;
    }
    return whole >= 2 || empty ? new Step(moved, bytes) : null;
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
