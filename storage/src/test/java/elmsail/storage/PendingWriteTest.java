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

/** A disk that hangs, refuses or is full, and the hand-over between the two threads. */
class PendingWriteTest {
  private static final Path DIR = Path.of("records");

  private final TornFiles files = new TornFiles(1);
  private final ArrayDeque<Runnable> response = new ArrayDeque<>();

  private DirectoryRecordStore open(long mostBytes) {
    return DirectoryRecordStore.byHand(DIR, mostBytes, response::add, files, 7);
  }

  private void tell() {
    while (!response.isEmpty()) {
      response.poll().run();
    }
  }

  private static List<Change> put(String name, int bytes) {
    return List.of(new Change(name, new byte[bytes]));
  }

  private static ErrorCode code(CompletableFuture<Void> failed) {
    Throwable why = failed.handle((done, e) -> e).join();
    return why == null ? null : ElmsailException.codeOf(why);
  }

  @Test
  void whileTheDiskHangsWritesWaitAndAreBounded() {
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
    while (records.turn()) {
      assertThat(waiting.get(6).isDone(), is(false));
    }
    tell();
    for (CompletableFuture<Void> each : waiting) {
      assertThat(code(each), nullValue());
    }
    CompletableFuture<Void> after = records.write(put("after", 10));
    records.turn();
    tell();
    assertThat(code(after), nullValue());
  }

  @Test
  void whatMayBuildOnAFailedWriteFailsToo() {
    DirectoryRecordStore records = open(1 << 20);
    CompletableFuture<Void> before = records.write(put("a", 1));
    records.turn();
    CompletableFuture<Void> first = records.write(put("a", 2));
    files.refusing = 1;
    // Taken by the turn, in one batch, with nothing behind it.
    records.turn();
    CompletableFuture<Void> untold = records.write(put("b", 3));
    files.refusing = 0;
    assertThat(records.turn(), is(false));
    assertThat(records.read("a").length, is(1));
    assertThat(records.read("b"), nullValue());
    tell();
    assertThat(code(before), nullValue());
    assertThat(code(first), is(ErrorCode.STORAGE_FAILURE));
    assertThat(code(untold), is(ErrorCode.STORAGE_FAILURE));
    CompletableFuture<Void> later = records.write(put("b", 4));
    records.turn();
    tell();
    assertThat(code(later), nullValue());
    assertThat(records.read("a").length, is(1));
    assertThat(open(1 << 20).read("a").length, is(1));
  }

  @Test
  void whatWaitsBehindAFailedBatchFailsWithIt() {
    DirectoryRecordStore records = open(1L << 30);
    CompletableFuture<Void> first = records.write(put("a", 3 << 20));
    CompletableFuture<Void> behind = records.write(put("b", 3 << 20));
    files.refusing = 1;
    records.turn();
    files.refusing = 0;
    assertThat(records.turn(), is(false));
    tell();
    assertThat(code(first), is(ErrorCode.STORAGE_FAILURE));
    assertThat(code(behind), is(ErrorCode.STORAGE_FAILURE));
    assertThat(records.read("b"), nullValue());
  }

  @Test
  void aFullDiskRefusesAtOnceAndTakesRemovals() {
    long most = 1 << 20;
    DirectoryRecordStore records = open(most);
    int kept = 0;
    while (true) {
      CompletableFuture<Void> done = records.write(put("r/" + kept, 10_000));
      if (done.isDone()) {
        assertThat(code(done), is(ErrorCode.RESOURCE_EXHAUSTED));
        break;
      }
      kept++;
      records.turn();
      tell();
      assertThat(code(done), nullValue());
      assertThat(records.bytesOnDisk(), lessThanOrEqualTo(most));
    }
    assertThat(kept, greaterThan(85));
    List<Change> gone = List.of(new Change("r/0", null), new Change("r/1", null));
    CompletableFuture<Void> removal = records.write(gone);
    records.turn();
    tell();
    assertThat(code(removal), nullValue());
    // Rewritten over and over, the room is found again by compaction.
    for (int i = 0; i < 300; i++) {
      CompletableFuture<Void> again = records.write(put("r/2", 10_000));
      records.turn();
      tell();
      assertThat(code(again), nullValue());
      assertThat(records.bytesOnDisk(), lessThanOrEqualTo(most));
    }
  }

  @Test
  void removalsLeaveNothingBehind() {
    DirectoryRecordStore records = open(1 << 20);
    for (int i = 0; i < 2_000; i++) {
      records.write(put("lot/" + i, 500));
      records.turn();
      records.write(List.of(new Change("lot/" + i, null)));
      records.turn();
    }
    while (records.turn()) {
      tell();
    }
    tell();
    assertThat(records.names("").iterator().hasNext(), is(false));
    assertThat(records.bytesOnDisk(), lessThan(200_000L));
    assertThat(files.contents().size(), lessThanOrEqualTo(Compaction.FILES + 1));
    assertThat(records.indexed(), lessThan(100));
  }

  /**
   * One caller and the disk's thread, with compaction: what was written last is read, at any
   * moment.
   */
  @Test
  void theCallerReadsItsOwnWritesWhileTheDiskWorks() throws Exception {
    TornFiles own = new TornFiles(3);
    Random random = new Random(11);
    TreeMap<String, byte[]> model = new TreeMap<>();
    CompletableFuture<Void> last = null;
    try (DirectoryRecordStore records =
        DirectoryRecordStore.open(DIR, 2 << 20, Runnable::run, own)) {
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
      assertThat(records.compactions(), greaterThan(10));
      assertThat(records.page(null, Integer.MAX_VALUE).keySet(), is(model.keySet()));
    }
    DirectoryRecordStore again = DirectoryRecordStore.byHand(DIR, 2 << 20, Runnable::run, own, 5);
    for (String name : model.keySet()) {
      assertThat(again.read(name), is(model.get(name)));
    }
  }
}
