package elmsail.simulation;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.emptyIterable;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.ManualTimers;
import elmsail.storage.RecordStore.Change;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;

/** What the simulated disk keeps through power losses, and when it reports. */
class SimDiskTest {

  private final ManualTimers timers = new ManualTimers();
  private final SimDisk disk = new SimDisk(3, timers);

  private static Change put(String name, int value) {
    return new Change(name, new byte[] {(byte) value});
  }

  private static ErrorCode codeOf(CompletableFuture<?> write) {
    assertThat(write.isCompletedExceptionally(), is(true));
    return ElmsailException.codeOf(assertThrows(CompletionException.class, write::join));
  }

  @Test
  void writeIsVisibleAtOnceAndCompletesAfterItsSync() {
    disk.syncDelay(20, 20);
    CompletableFuture<Void> write = disk.write(List.of(put("a", 1), put("b", 2)));
    assertThat(disk.read("a"), equalTo(new byte[] {1}));
    timers.advance(19);
    assertThat(write.isDone(), is(false));
    assertThat(disk.bytesOnDisk(), is(0L));
    timers.advance(1);
    write.join();
    assertThat(disk.bytesOnDisk(), is(4L));
    CompletableFuture<Void> removal = disk.write(List.of(new Change("a", null)));
    assertThat(disk.read("a"), is(nullValue()));
    timers.advance(20);
    removal.join();
    assertThat(disk.names(""), contains("b"));
  }

  @Test
  void changesAreBatchedDuringASync() {
    disk.syncDelay(20, 20);
    disk.write(List.of(put("a", 1)));
    CompletableFuture<Void> second = disk.write(List.of(put("b", 1)));
    CompletableFuture<Void> third = disk.write(List.of(put("c", 1)));
    timers.advance(20);
    assertThat(second.isDone(), is(false));
    timers.advance(20);
    second.join();
    third.join();
    assertThat(disk.syncs(), is(2L));
  }

  @Test
  void completedWritesSurviveEveryPowerLoss() {
    for (int i = 0; i < 50; i++) {
      CompletableFuture<Void> write = disk.write(List.of(put("a", i)));
      timers.advance(10);
      write.join();
      disk.write(List.of(put("b", i)));
      disk.powerLoss();
      assertThat(disk.read("a"), equalTo(new byte[] {(byte) i}));
    }
  }

  @Test
  void batchInSyncIsAtomicOnPowerLossAndLaterOnesAreLost() {
    int there = 0;
    for (int i = 0; i < 100; i++) {
      CompletableFuture<Void> first = disk.write(List.of(put("x" + i, 1), put("y" + i, 1)));
      CompletableFuture<Void> second = disk.write(List.of(put("z" + i, 1)));
      disk.powerLoss();
      timers.advance(100);
      assertThat(first.isDone(), is(false));
      assertThat(second.isDone(), is(false));
      assertThat(disk.read("z" + i), is(nullValue()));
      assertThat(disk.read("x" + i) == null, is(disk.read("y" + i) == null));
      there += disk.read("x" + i) == null ? 0 : 1;
    }
    assertThat(there, is(allOf(greaterThan(25), lessThan(75))));
  }

  @Test
  void instanceIdIsStableUntilTheDiskIsWiped() {
    long instanceId = disk.instanceId();
    assertThat(disk.open(timers).isNew(), is(true));
    disk.write(List.of(put("a", 1)));
    timers.advance(10);
    assertThat(disk.open(timers).isNew(), is(false));
    disk.powerLoss();
    assertThat(disk.instanceId(), is(instanceId));
    assertThat(disk.isNew(), is(false));
    disk.wipe();
    assertThat(disk.open(timers).isNew(), is(true));
    assertThat(disk.instanceId(), is(not(instanceId)));
    assertThat(disk.names(""), is(emptyIterable()));
    assertThat(disk.open(timers).isNew(), is(false));
  }

  @Test
  void openedOnceButEmptyIsNotFreshAgain() {
    assertThat(disk.open(timers).isNew(), is(true));
    assertThat(disk.open(timers).isNew(), is(false));
  }

  @Test
  void stalledDiskCompletesWritesLater() {
    disk.syncDelay(5, 5);
    CompletableFuture<Void> write = disk.write(List.of(put("a", 1)));
    disk.stall(3_000);
    timers.advance(2_999);
    assertThat(write.isDone(), is(false));
    timers.advance(1);
    write.join();
  }

  @Test
  void failedWritesChangeNothing() {
    disk.write(List.of(put("a", 1)));
    timers.advance(10);
    disk.failWrites();
    CompletableFuture<Void> write = disk.write(List.of(put("a", 2)));
    timers.advance(10);
    assertThat(codeOf(write), is(ErrorCode.STORAGE_FAILURE));
    assertThat(disk.read("a"), equalTo(new byte[] {1}));
    disk.allowWrites();
    CompletableFuture<Void> next = disk.write(List.of(put("a", 3)));
    timers.advance(10);
    next.join();
    assertThat(disk.read("a"), equalTo(new byte[] {3}));
  }

  @Test
  void writesQueuedBehindAFailedBatchFailWithIt() {
    disk.syncDelay(10, 10);
    disk.write(List.of(put("a", 1)));
    timers.advance(10);
    disk.failWrites();
    CompletableFuture<Void> first = disk.write(List.of(put("a", 2)));
    CompletableFuture<Void> gathered = disk.write(List.of(put("b", 2)));
    timers.advance(5);
    disk.write(List.of(put("c", 2)));
    timers.advance(5);
    disk.allowWrites();
    assertThat(codeOf(first), is(ErrorCode.STORAGE_FAILURE));
    assertThat(codeOf(gathered), is(ErrorCode.STORAGE_FAILURE));
    assertThat(disk.names(""), contains("a"));
    assertThat(disk.read("a"), equalTo(new byte[] {1}));
    timers.advance(100);
    assertThat(disk.syncs(), is(1L));
  }

  @Test
  void writesUntilTheFailureIsReportedFailToo() {
    disk.syncDelay(10, 10);
    disk.failWrites();
    CompletableFuture<Void> first = disk.write(List.of(put("a", 1)));
    List<CompletableFuture<Void>> between = new ArrayList<>();
    // Due at the same time as the sync, after it, and before the failure is reported.
    timers.schedule(
        10,
        () -> {
          disk.allowWrites();
          assertThat(first.isDone(), is(false));
          between.add(disk.write(List.of(put("b", 1))));
        });
    timers.advance(10);
    assertThat(codeOf(first), is(ErrorCode.STORAGE_FAILURE));
    assertThat(codeOf(between.get(0)), is(ErrorCode.STORAGE_FAILURE));
    CompletableFuture<Void> next = disk.write(List.of(put("c", 1)));
    timers.advance(10);
    next.join();
    assertThat(disk.names(""), contains("c"));
  }

  @Test
  void unreportedFailureIsDroppedWhenTheProcessEnds() {
    disk.syncDelay(10, 10);
    disk.failWrites();
    disk.write(List.of(put("a", 1)));
    timers.schedule(10, () -> disk.open(timers).allowWrites());
    timers.advance(10);
    CompletableFuture<Void> next = disk.write(List.of(put("b", 1)));
    timers.advance(10);
    next.join();
    assertThat(disk.names(""), contains("b"));
  }

  @Test
  void writesOfADeadProcessNeverComplete() {
    SimNetwork net = new SimNetwork(1, timers);
    SimNode node = net.startNode("n");
    disk.open(node.timers());
    CompletableFuture<Void> write = disk.write(List.of(put("a", 1)));
    net.kill("n");
    timers.advance(100);
    assertThat(write.isDone(), is(false));
  }

  @Test
  void closedDiskFailsWritesAndCanBeReopened() {
    disk.close();
    CompletableFuture<Void> write = disk.write(List.of(put("a", 1)));
    timers.advance(0);
    assertThat(codeOf(write), is(ErrorCode.STORAGE_FAILURE));
    disk.open(timers);
    CompletableFuture<Void> next = disk.write(List.of(put("a", 1)));
    timers.advance(10);
    next.join();
  }

  @Test
  void pagesAreInOrderAndContinueAfterTheLastName() {
    for (String name : List.of("c", "a", "b", "d")) {
      disk.write(List.of(new Change(name, new byte[10])));
    }
    assertThat(disk.page("", 15).keySet(), contains("a", "b"));
    assertThat(disk.page("b", 1).keySet(), contains("c"));
    assertThat(disk.page("d", 100).keySet(), is(empty()));
    assertThat(disk.names("b"), contains("b"));
  }

  @Test
  void nothingIsShared() {
    byte[] bytes = {1};
    disk.write(List.of(new Change("a", bytes)));
    bytes[0] = 2;
    disk.read("a")[0] = 3;
    disk.page("", 10).get("a")[0] = 4;
    assertThat(disk.read("a"), equalTo(new byte[] {1}));
  }

  @Test
  void equalSeedsGiveEqualRuns() {
    assertThat(run(1), is(run(1)));
    assertThat(run(1), is(not(run(2))));
  }

  private static List<String> run(long seed) {
    ManualTimers timers = new ManualTimers();
    SimDisk disk = new SimDisk(seed, timers);
    List<String> log = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      String name = "r" + i;
      disk.write(List.of(put(name, 1))).thenRun(() -> log.add(timers.now() + name));
      timers.advance(3);
      if (i % 7 == 6) {
        disk.powerLoss();
        log.add(disk.names("").toString());
      }
    }
    return log;
  }
}
