package elmsail.storage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import elmsail.storage.RecordStore.Change;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a storage directory that grows with the number of changes, and so makes each start
 * read more. Its size is measured by listing the files.
 */
class LevelStorageTest {
  private static final long MAX_BYTES = 64L << 20;
  private static final int CONFIG_BYTES = 24_000;

  /** Bytes allowed in addition to twice the live records and the file that is being written. */
  private static final long DEAD_BYTES = 1L << 20;

  private static final int MAX_FILES = Compaction.BASE_FILES + 4;

  @TempDir Path temp;
  private final ArrayDeque<Runnable> completions = new ArrayDeque<>();

  /** The largest size of the directory and of the index during a series of changes. */
  private static final class PeakUsage {
    long bytes;
    int files;
    int indexed;

    void add(Path dir, DirectoryRecordStore records) throws IOException {
      Usage usage = usage(dir);
      files = Math.max(files, usage.files());
      bytes = Math.max(bytes, usage.bytes());
      indexed = Math.max(indexed, records.indexedNames());
    }

    @Override
    public String toString() {
      return files + " files of " + bytes + " bytes, " + indexed + " names in memory";
    }
  }

  /** The number and total size of the files of a directory. */
  private record Usage(int files, long bytes) {}

  private static Usage usage(Path dir) throws IOException {
    int files = 0;
    long bytes = 0;
    try (Stream<Path> all = java.nio.file.Files.list(dir)) {
      for (Path file : all.toList()) {
        files++;
        bytes += java.nio.file.Files.size(file);
      }
    }
    return new Usage(files, bytes);
  }

  private DirectoryRecordStore open(Path dir) {
    return DirectoryRecordStore.openWithoutThread(
        dir, MAX_BYTES, completions::add, new LocalFileSystem(), 7);
  }

  private void write(DirectoryRecordStore records, List<Change> changes) {
    records.write(changes);
    while (records.runOnce()) {
      continue;
    }
    while (!completions.isEmpty()) {
      completions.poll().run();
    }
  }

  private static byte[] filled(int bytes, int change) {
    byte[] filled = new byte[bytes];
    new Random(change).nextBytes(filled);
    return filled;
  }

  /** Writes the changes that a voter writes: a promise and an accept of each configuration. */
  private PeakUsage writeConfigurations(DirectoryRecordStore records, Path dir, int from, int to)
      throws IOException {
    PeakUsage peak = new PeakUsage();
    for (int i = from; i < to; i++) {
      write(records, List.of(new Change("head/k/timetable", filled(CONFIG_BYTES, i))));
      write(records, List.of(new Change("head/k/timetable", filled(CONFIG_BYTES, i))));
      if (i % 10 == 0) {
        write(records, List.of(new Change("head/k/duty", filled(40, i))));
      }
      peak.add(dir, records);
    }
    return peak;
  }

  @Test
  void repeatedChangesKeepTheDirectorySizeLevel() throws IOException {
    Path dir = temp.resolve("keys");
    DirectoryRecordStore records = open(dir);
    PeakUsage early = writeConfigurations(records, dir, 0, 200);
    PeakUsage late = writeConfigurations(records, dir, 200, 1_200);
    System.out.println("changes 1 to 200: " + early);
    System.out.println("changes 201 to 1,200: " + late);
    long live = CONFIG_BYTES + 1_000;
    assertThat(late.bytes, lessThan(2 * live + DEAD_BYTES + CONFIG_BYTES + 1_000));
    assertThat(late.files, lessThanOrEqualTo(MAX_FILES));
    assertThat(late.indexed, is(early.indexed));
    assertThat(records.compactionSteps(), greaterThan(10));
    assertReopens(dir, records, "head/k/timetable", filled(CONFIG_BYTES, 1_199));
  }

  /** Checks the newest value of a record, and the limits on files and names, after reopening. */
  private void assertReopens(Path dir, DirectoryRecordStore before, String name, byte[] newest)
      throws IOException {
    before.close();
    Usage usage = usage(dir);
    DirectoryRecordStore records = open(dir);
    System.out.println(
        "read at a start: " + usage.files() + " files of " + usage.bytes() + " bytes");
    assertThat(usage.files(), lessThanOrEqualTo(MAX_FILES));
    assertThat(records.indexedNames(), lessThanOrEqualTo(before.indexedNames()));
    assertThat(records.read(name), is(newest));
  }

  /** Stores and removes batch jobs: their keys and blobs must not accumulate. */
  @Test
  void removedKeysFreeTheirDiskSpaceAndIndexEntries() throws IOException {
    Path dir = temp.resolve("jobs");
    DirectoryRecordStore records = open(dir);
    int open = 40;
    List<PeakUsage> peaks = new ArrayList<>();
    PeakUsage peak = new PeakUsage();
    for (int job = 0; job < 1_200; job++) {
      write(
          records,
          List.of(
              new Change("shelf/k/lot%2F" + job, filled(300, job)),
              new Change("shelf/b/lot%2F" + job + "/body", filled(6_000, job))));
      if (job >= open) {
        int ended = job - open;
        write(
            records,
            List.of(
                new Change("shelf/k/lot%2F" + ended, null),
                new Change("shelf/b/lot%2F" + ended + "/body", null)));
      }
      peak.add(dir, records);
      if (job % 300 == 299) {
        System.out.println("jobs to " + (job + 1) + ": " + peak);
        peaks.add(peak);
        peak = new PeakUsage();
      }
    }
    long live = open * 6_500L;
    for (PeakUsage each : peaks) {
      assertThat(each.bytes, lessThan(2 * live + DEAD_BYTES + 20_000));
      assertThat(each.files, lessThanOrEqualTo(MAX_FILES));
    }
    // The index keeps the name of a removal while a file holds an old value of that name.
    assertThat(peaks.get(3).indexed, lessThanOrEqualTo(peaks.get(1).indexed + open));
    assertReopens(dir, records, "shelf/b/lot%2F1199/body", filled(6_000, 1_199));
  }
}
