package elmsail.storage;

import elmsail.storage.RecordStore.Change;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * Random writes to a store on a file system that simulates power losses. The reopened store must
 * contain exactly the acknowledged writes, possibly followed by the first few of the pending
 * writes, or of one group of failed writes after which no write was acknowledged.
 */
final class RandomWrites {
  private static final int[] SIZES = {
    0, 8, 300, RecordIndex.MAX_IN_MEMORY_BYTES, RecordIndex.MAX_IN_MEMORY_BYTES + 1, 9_000
  };

  final PowerLossFileSystem fileSystem;
  private final Random random;
  private final long maxBytes;
  private final int names;
  private final int sizes;
  private final ArrayDeque<Runnable> completions = new ArrayDeque<>();
  private final List<Write> pending = new ArrayList<>();

  /** The writes that failed since the last acknowledged write, one list for each failure. */
  private final List<List<Write>> failed = new ArrayList<>();

  private Map<String, byte[]> acknowledged = new TreeMap<>();
  private DirectoryRecordStore store;
  private long instanceId;
  private int nextNumber;
  int acknowledgements;
  int failures;

  private record Write(List<Change> changes, CompletableFuture<Void> completion) {}

  RandomWrites(PowerLossFileSystem fileSystem, long seed, long maxBytes, int names, int sizes) {
    this.sizes = sizes;
    this.fileSystem = fileSystem;
    this.maxBytes = maxBytes;
    this.names = names;
    random = new Random(seed);
  }

  void open() {
    completions.clear();
    store =
        DirectoryRecordStore.openWithoutThread(
            Path.of("records"), maxBytes, completions::add, fileSystem, random.nextLong() | 1);
  }

  /** Makes one random write, and runs up to two iterations of the disk worker. */
  void step() {
    List<Change> changes = new ArrayList<>();
    for (int i = random.nextInt(3); i >= 0; i--) {
      String name = "n/" + random.nextInt(names);
      changes.add(new Change(name, random.nextInt(4) == 0 ? null : bytes()));
    }
    Write write = new Write(changes, store.write(changes));
    pending.add(write);
    if (!write.completion.isDone()) {
      assertReads(valuesOf(write), store, "read at once");
    }
    runWorker(random.nextInt(3));
    runCompletions();
  }

  private Map<String, byte[]> valuesOf(Write write) {
    Map<String, byte[]> seen = new TreeMap<>();
    apply(seen, write);
    return seen;
  }

  void runWorker(int count) {
    int i = 0;
    while (i < count && store.runOnce()) {
      i++;
    }
  }

  private byte[] bytes() {
    byte[] bytes = new byte[8 + SIZES[random.nextInt(sizes)]];
    Arrays.fill(bytes, (byte) nextNumber);
    java.nio.ByteBuffer.wrap(bytes).putInt(nextNumber++);
    return bytes;
  }

  void runCompletions() {
    while (!completions.isEmpty()) {
      completions.poll().run();
    }
    List<Write> failedTogether = new ArrayList<>();
    while (!pending.isEmpty() && pending.get(0).completion.isDone()) {
      Write write = pending.remove(0);
      if (write.completion.isCompletedExceptionally()) {
        failedTogether.add(write);
        failures++;
      } else {
        if (!failedTogether.isEmpty()) {
          throw new AssertionError(
              "a write was acknowledged before the failure of an earlier write was reported");
        }
        failed.clear();
        apply(acknowledged, write);
        acknowledgements++;
      }
    }
    if (!failedTogether.isEmpty()) {
      failed.add(failedTogether);
    }
  }

  private static void apply(Map<String, byte[]> to, Write write) {
    for (Change change : write.changes) {
      if (change.bytes() == null) {
        to.remove(change.name());
      } else {
        to.put(change.name(), change.bytes());
      }
    }
  }

  /** Checks that all reads return the acknowledged values; no write may be pending. */
  void checkReads() {
    assertReads(acknowledged, store, "read");
    Map<String, byte[]> paged = new TreeMap<>();
    store.page(null, Integer.MAX_VALUE).forEach(paged::put);
    if (!equal(acknowledged, paged)) {
      throw new AssertionError("pages differ from the acknowledged records");
    }
  }

  private static void assertReads(
      Map<String, byte[]> expected, DirectoryRecordStore records, String when) {
    for (Map.Entry<String, byte[]> e : expected.entrySet()) {
      if (!Arrays.equals(e.getValue(), records.read(e.getKey()))) {
        throw new AssertionError(when + ": " + e.getKey() + " differs from the written value");
      }
    }
  }

  /** Opens the store after a power loss or the end of the process, and checks its content. */
  void reopen() {
    long previousInstanceId = instanceId;
    open();
    instanceId = store.instanceId();
    if (previousInstanceId != 0 && previousInstanceId != instanceId) {
      throw new AssertionError("the instance id has changed after reopening");
    }
    Map<String, byte[]> found = new TreeMap<>();
    for (String name : store.names("")) {
      found.put(name, store.read(name));
    }
    boolean matched = matches(found, pending);
    for (List<Write> failedTogether : failed) {
      matched |= matches(found, failedTogether);
    }
    if (!matched) {
      throw new AssertionError(
          "found " + describe(found) + ", acknowledged " + describe(acknowledged));
    }
    acknowledged = found;
    pending.clear();
    failed.clear();
  }

  private static String describe(Map<String, byte[]> state) {
    StringBuilder text = new StringBuilder();
    state.forEach(
        (name, bytes) ->
            text.append(name)
                .append('=')
                .append(java.nio.ByteBuffer.wrap(bytes).getInt())
                .append(' '));
    return text.toString();
  }

  private boolean matches(Map<String, byte[]> found, List<Write> first) {
    Map<String, byte[]> state = new TreeMap<>(acknowledged);
    if (equal(state, found)) {
      return true;
    }
    for (Write write : first) {
      apply(state, write);
      if (equal(state, found)) {
        return true;
      }
    }
    return false;
  }

  private static boolean equal(Map<String, byte[]> one, Map<String, byte[]> other) {
    if (!one.keySet().equals(other.keySet())) {
      return false;
    }
    for (Map.Entry<String, byte[]> e : one.entrySet()) {
      if (!Arrays.equals(e.getValue(), other.get(e.getKey()))) {
        return false;
      }
    }
    return true;
  }

  int compactions() {
    return store == null ? 0 : store.compactionSteps();
  }
}
