package elmsail.simulation;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.ManualTimers;
import elmsail.runtime.Timers;
import elmsail.storage.RecordStore;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * A disk in a test, on a clock moved by hand: it writes one batch at a time, gathers changes
 * meanwhile, and outlives the processes that use it one after the other. After a refused batch, all
 * that waits, and all that is written until the failure was reported, fails too, as on a real one.
 * Deterministic from its seed.
 */
public final class SimDisk implements RecordStore {

  private static final class Batch {
    private final List<Change> changes = new ArrayList<>();
    private final List<CompletableFuture<Void>> futures = new ArrayList<>();
  }

  private final Random random;
  private final ManualTimers timers;
  private final TreeMap<String, byte[]> safe = new TreeMap<>();
  private final TreeMap<String, byte[]> view = new TreeMap<>();
  private Timers owner;
  private Batch writing;
  private Batch gathering = new Batch();
  private Timers.Timer sync;
  private long leastMs = 1;
  private long mostMs = 10;
  private long stalledUntil;
  private boolean refusing;

  /** What fails, until that is reported; null: nothing. */
  private List<CompletableFuture<Void>> failing;

  private boolean closed;
  private boolean fresh = true;

  /** Whether no process has opened it since it was new. */
  private boolean blank = true;

  private long instanceId;
  private long syncs;

  /** An empty disk without faults whose choices are drawn from the seed. */
  public SimDisk(long seed, ManualTimers timers) {
    this.random = new Random(seed);
    this.timers = timers;
    this.owner = timers;
    this.instanceId = random.nextLong();
  }

  /** Ms that a sync takes, drawn for each. */
  public void syncTime(long least, long most) {
    leastMs = least;
    mostMs = most;
  }

  /** No batch is done within the next ms. */
  public void stall(long ms) {
    stalledUntil = Math.max(stalledUntil, timers.now() + ms);
  }

  /** From now on batches fail with DISK, the one being written too, and change nothing. */
  public void refuse() {
    refusing = true;
  }

  /** Ends the refusal. */
  public void accept() {
    refusing = false;
  }

  /**
   * The process dies with its machine: the batch that was being written is there, or is not, as
   * drawn.
   */
  public void powerLoss() {
    if (sync != null) {
      sync.cancel();
      sync = null;
    }
    if (writing != null && !refusing && random.nextBoolean()) {
      apply(safe, writing.changes);
    }
    writing = null;
    gathering = new Batch();
    failing = null;
    view.clear();
    view.putAll(safe);
    closed = false;
    fresh = false;
    blank = false;
  }

  /** The disk is replaced by an empty one: a new instance id, and nothing on it. */
  public void wipe() {
    powerLoss();
    safe.clear();
    view.clear();
    fresh = true;
    blank = true;
    refusing = false;
    stalledUntil = 0;
    instanceId = random.nextLong();
  }

  /**
   * A new process opens the disk, on whose timers its writes complete from now on; what the one
   * before it had not completed is as after {@link #powerLoss()}.
   */
  public SimDisk open(Timers process) {
    boolean first = blank;
    powerLoss();
    fresh = first;
    owner = process;
    return this;
  }

  /** Batches that were made safe. */
  public long syncs() {
    return syncs;
  }

  @Override
  public long instanceId() {
    return instanceId;
  }

  @Override
  public boolean fresh() {
    return fresh;
  }

  @Override
  public CompletableFuture<Void> write(List<Change> changes) {
    CompletableFuture<Void> future = new CompletableFuture<>();
    if (closed) {
      fail(future, "closed");
      return future;
    }
    if (failing != null) {
      failing.add(future);
      return future;
    }
    List<Change> copies = new ArrayList<>();
    for (Change change : changes) {
      copies.add(new Change(change.name(), change.bytes() == null ? null : change.bytes().clone()));
    }
    apply(view, copies);
    gathering.changes.addAll(copies);
    gathering.futures.add(future);
    begin();
    return future;
  }

  @Override
  public byte[] read(String name) {
    byte[] bytes = view.get(name);
    return bytes == null ? null : bytes.clone();
  }

  @Override
  public Map<String, byte[]> page(String after, int mostBytes) {
    Map<String, byte[]> page = new LinkedHashMap<>();
    long bytes = 0;
    for (Map.Entry<String, byte[]> entry : view.tailMap(after, false).entrySet()) {
      if (bytes >= mostBytes && !page.isEmpty()) {
        break;
      }
      page.put(entry.getKey(), entry.getValue().clone());
      bytes += entry.getKey().length() + entry.getValue().length;
    }
    return page;
  }

  @Override
  public Iterable<String> names(String prefix) {
    List<String> names = new ArrayList<>();
    for (String name : view.tailMap(prefix, true).keySet()) {
      if (!name.startsWith(prefix)) {
        break;
      }
      names.add(name);
    }
    return names;
  }

  @Override
  public long bytesOnDisk() {
    long bytes = 0;
    for (Map.Entry<String, byte[]> entry : safe.entrySet()) {
      bytes += entry.getKey().length() + entry.getValue().length;
    }
    return bytes;
  }

  /** What was not written yet fails with DISK; the disk can be opened again. */
  @Override
  public void close() {
    closed = true;
    for (CompletableFuture<Void> future : gathering.futures) {
      fail(future, "closed");
    }
    gathering = new Batch();
  }

  private void begin() {
    if (writing != null || gathering.futures.isEmpty()) {
      return;
    }
    writing = gathering;
    gathering = new Batch();
    syncIn(leastMs + (long) (random.nextDouble() * (mostMs - leastMs + 1)));
  }

  private void syncIn(long ms) {
    sync = timers.after(ms, this::synced);
  }

  private void synced() {
    if (timers.now() < stalledUntil) {
      syncIn(stalledUntil - timers.now());
      return;
    }
    sync = null;
    Batch done = writing;
    writing = null;
    if (refusing) {
      refused(done);
      return;
    }
    apply(safe, done.changes);
    syncs++;
    for (CompletableFuture<Void> future : done.futures) {
      owner.soon(() -> future.complete(null));
    }
    begin();
  }

  private void refused(Batch batch) {
    List<CompletableFuture<Void>> failed = new ArrayList<>(batch.futures);
    failed.addAll(gathering.futures);
    gathering = new Batch();
    failing = failed;
    view.clear();
    view.putAll(safe);
    owner.soon(
        () -> {
          if (failing != failed) {
            return;
          }
          failing = null;
          for (CompletableFuture<Void> future : failed) {
            future.completeExceptionally(new ElmsailException(ErrorCode.DISK, "refused"));
          }
        });
  }

  private void fail(CompletableFuture<Void> future, String detail) {
    owner.soon(() -> future.completeExceptionally(new ElmsailException(ErrorCode.DISK, detail)));
  }

  private static void apply(Map<String, byte[]> records, List<Change> changes) {
    for (Change change : changes) {
      if (change.bytes() == null) {
        records.remove(change.name());
      } else {
        records.put(change.name(), change.bytes());
      }
    }
  }
}
