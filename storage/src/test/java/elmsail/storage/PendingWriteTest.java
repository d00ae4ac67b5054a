package elmsail.storage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.nullValue;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.storage.RecordStore.Change;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Writes to a disk that hangs, fails or is full, and the concurrency of the two threads. */
class PendingWriteTest {
  private static final Path DIR = Path.of("records");

  private final PowerLossFileSystem fileSystem = new PowerLossFileSystem(1);
  private final ArrayDeque<Runnable> completions = new ArrayDeque<>();

  private DirectoryRecordStore open(long maxBytes) {
    return DirectoryRecordStore.openWithoutThread(DIR, maxBytes, completions::add, fileSystem, 7);
  }

  private void runCompletions() {
    while (!completions.isEmpty()) {
      completions.poll().run();
    }
  }

  private static List<Change> put(String name, int bytes) {
    return List.of(new Change(name, new byte[bytes]));
  }

  private static ErrorCode code(CompletableFuture<Void> failed) {
    Throwable failure = failed.handle((done, e) -> e).join();
    return failure == null ? null : ElmsailException.codeOf(failure);
  }

  @Test
  void writesStayPendingAndBoundedWhileTheDiskHangs() {
    DirectoryRecordStore records = open(1L << 40);
    byte[] big = new byte[8 << 20];
    List<CompletableFuture<Void>> waiting = new ArrayList<>();
    for (int i = 0; i < 7; i++) {
      waiting.add(records.write(List.of(new Change("big" + i, big))));
    }
    CompletableFuture<Void> tooMuch = records.write(List.of(new Change("big7", big)));
    assertThat(code(tooMuch), is(ErrorCode.RESOURCE_EXHAUSTED));
    assertThat(records.read("big6").length, is(big.length));
    assertThat(records.read("big7"), nullValue());
    for (CompletableFuture<Void> each : waiting) {
      assertThat(each.isDone(), is(false));
    }
    while (records.runOnce()) {
      assertThat(waiting.get(6).isDone(), is(false));
    }
    runCompletions();
    for (CompletableFuture<Void> each : waiting) {
      assertThat(code(each), nullValue());
    }
    CompletableFuture<Void> after = records.write(put("after", 10));
    records.runOnce();
    runCompletions();
    assertThat(code(after), nullValue());
  }

  @Test
  void writeBeforeTheFailureIsReportedFailsToo() {
    DirectoryRecordStore records = open(1 << 20);
    CompletableFuture<Void> before = records.write(put("a", 1));
    records.runOnce();
    CompletableFuture<Void> first = records.write(put("a", 2));
    fileSystem.failureRate = 1;
    // The worker takes the write as one batch, with nothing queued behind it.
    records.runOnce();
    CompletableFuture<Void> duringFailure = records.write(put("b", 3));
    fileSystem.failureRate = 0;
    assertThat(records.runOnce(), is(false));
    assertThat(records.read("a").length, is(1));
    assertThat(records.read("b"), nullValue());
    runCompletions();
    assertThat(code(before), nullValue());
    assertThat(code(first), is(ErrorCode.STORAGE_FAILURE));
    assertThat(code(duringFailure), is(ErrorCode.STORAGE_FAILURE));
    CompletableFuture<Void> later = records.write(put("b", 4));
    records.runOnce();
    runCompletions();
    assertThat(code(later), nullValue());
    assertThat(records.read("a").length, is(1));
    assertThat(open(1 << 20).read("a").length, is(1));
  }

  @Test
  void writesQueuedBehindAFailedBatchFailWithIt() {
    DirectoryRecordStore records = open(1L << 30);
    CompletableFuture<Void> first = records.write(put("a", 3 << 20));
    CompletableFuture<Void> behind = records.write(put("b", 3 << 20));
    fileSystem.failureRate = 1;
    records.runOnce();
    fileSystem.failureRate = 0;
    assertThat(records.runOnce(), is(false));
    runCompletions();
    assertThat(code(first), is(ErrorCode.STORAGE_FAILURE));
    assertThat(code(behind), is(ErrorCode.STORAGE_FAILURE));
    assertThat(records.read("b"), nullValue());
  }

  @Test
  void fullDiskRejectsValuesAndAcceptsRemovals() {
    long maxBytes = 1 << 20;
    DirectoryRecordStore records = open(maxBytes);
    int kept = 0;
    while (true) {
      CompletableFuture<Void> done = records.write(put("r/" + kept, 10_000));
      if (done.isDone()) {
        assertThat(code(done), is(ErrorCode.RESOURCE_EXHAUSTED));
        break;
      }
      kept++;
      records.runOnce();
      runCompletions();
      assertThat(code(done), nullValue());
      assertThat(records.bytesOnDisk(), lessThanOrEqualTo(maxBytes));
    }
    assertThat(kept, greaterThan(85));
    List<Change> removals = List.of(new Change("r/0", null), new Change("r/1", null));
    CompletableFuture<Void> removal = records.write(removals);
    records.runOnce();
    runCompletions();
    assertThat(code(removal), nullValue());
    // Compaction frees the space of a record that is rewritten over and over.
    for (int i = 0; i < 300; i++) {
      CompletableFuture<Void> again = records.write(put("r/2", 10_000));
      records.runOnce();
      runCompletions();
      assertThat(code(again), nullValue());
      assertThat(records.bytesOnDisk(), lessThanOrEqualTo(maxBytes));
    }
  }

  @Test
  void removedRecordsFreeTheirDiskSpaceAndIndexEntries() {
    DirectoryRecordStore records = open(1 << 20);
    for (int i = 0; i < 2_000; i++) {
      records.write(put("lot/" + i, 500));
      records.runOnce();
      records.write(List.of(new Change("lot/" + i, null)));
      records.runOnce();
    }
    while (records.runOnce()) {
      runCompletions();
    }
    runCompletions();
    assertThat(records.names("").iterator().hasNext(), is(false));
    assertThat(records.bytesOnDisk(), lessThan(200_000L));
    assertThat(fileSystem.contents().size(), lessThanOrEqualTo(Compaction.BASE_FILES + 1));
    assertThat(records.indexedNames(), lessThan(100));
  }

  /** One caller and the disk thread, with compaction: each read returns the last write. */
  @Test
  void callerReadsItsOwnWritesDuringCompaction() throws Exception {
    PowerLossFileSystem fileSystem = new PowerLossFileSystem(3);
    Random random = new Random(11);
    TreeMap<String, byte[]> model = new TreeMap<>();
    CompletableFuture<Void> last = null;
    try (DirectoryRecordStore records =
        DirectoryRecordStore.open(DIR, 2 << 20, Runnable::run, fileSystem)) {
      for (int i = 0; i < 20_000; i++) {
        String name = "n/" + random.nextInt(40);
        if (random.nextBoolean()) {
          byte[] bytes = random.nextInt(5) == 0 ? null : new byte[random.nextInt(3) * 3_000 + 4];
          if (bytes != null) {
            java.nio.ByteBuffer.wrap(bytes).putInt(i);
          }
          last = records.write(List.of(new Change(name, bytes)));
          if (bytes == null) {
            model.remove(name);
          } else {
            model.put(name, bytes);
          }
          if (i % 16 == 0) {
            last.get(10, TimeUnit.SECONDS);
          }
        } else {
          assertThat(records.read(name), is(model.get(name)));
        }
      }
      last.get(10, TimeUnit.SECONDS);
      assertThat(records.compactionSteps(), greaterThan(10));
      assertThat(records.page(null, Integer.MAX_VALUE).keySet(), is(model.keySet()));
    }
    DirectoryRecordStore again =
        DirectoryRecordStore.openWithoutThread(DIR, 2 << 20, Runnable::run, fileSystem, 5);
    for (String name : model.keySet()) {
      assertThat(again.read(name), is(model.get(name)));
    }
  }
}
