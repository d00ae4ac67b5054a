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
 * A simulated disk with the semantics of the real store: one batch is synced at a time, changes are
 * batched meanwhile, and the content survives the processes that use it one after the other. After
 * a failed batch, everything queued, and everything written until the failure was reported, fails
 * as well. Deterministic for a seed; single-threaded.
 */
public final class SimDisk implements RecordStore {

  private static final class Batch {
    private final List<Change> changes = new ArrayList<>();
    private final List<CompletableFuture<Void>> futures = new ArrayList<>();
  }

  private final Random random;
  private final ManualTimers timers;
  private final TreeMap<String, byte[]> durable = new TreeMap<>();
  private final TreeMap<String, byte[]> current = new TreeMap<>();
  private Timers owner;
  private Batch syncing;
  private Batch pending = new Batch();
  private Timers.Timer sync;
  private long minSyncMs = 1;
  private long maxSyncMs = 10;
  private long stalledUntil;
  private boolean failingWrites;

  /** Writes that will fail, until that is reported; null if there are none. */
  private List<CompletableFuture<Void>> unreportedFailures;

  private boolean closed;
  private boolean fresh = true;

  /** Whether no process has opened it since it was created or wiped. */
  private boolean neverOpened = true;

  private long instanceId;
  private long syncs;

  /** An empty disk without faults. */
  public SimDisk(long seed, ManualTimers timers) {
    this.random = new Random(seed);
    this.timers = timers;
    this.owner = timers;
    this.instanceId = random.nextLong();
  }

  /** Sets the duration of a sync, drawn for each. */
  public void syncDelay(long minMs, long maxMs) {
    minSyncMs = minMs;
    maxSyncMs = maxMs;
  }

  /** No sync completes within the next ms. */
  public void stall(long ms) {
    stalledUntil = Math.max(stalledUntil, timers.now() + ms);
  }

  /** From now on syncs fail with STORAGE_FAILURE, also the present one, and change nothing. */
  public void failWrites() {
    failingWrites = true;
  }

  /** Ends {@link #failWrites()}. */
  public void allowWrites() {
    failingWrites = false;
  }

  /** The machine loses its power: the batch being synced is durable or not, as drawn. */
  public void powerLoss() {
    if (sync != null) {
      sync.cancel();
      sync = null;
    }
    if (syncing != null && !failingWrites && random.nextBoolean()) {
      apply(durable, syncing.changes);
    }
    syncing = null;
    pending = new Batch();
    unreportedFailures = null;
    current.clear();
    current.putAll(durable);
    closed = false;
    fresh = false;
    neverOpened = false;
  }

  /** The disk is replaced by an empty one with a new instance id. */
  public void wipe() {
    powerLoss();
    durable.clear();
    current.clear();
    fresh = true;
    neverOpened = true;
    failingWrites = false;
    stalledUntil = 0;
    instanceId = random.nextLong();
  }

  /**
   * A new process opens the disk; its writes complete on these timers. What the former process had
   * not completed is as after {@link #powerLoss()}.
   */
  public SimDisk open(Timers process) {
    boolean first = neverOpened;
    powerLoss();
    fresh = first;
    owner = process;
    return this;
  }

  /** How many batches were made durable. */
  public long syncs() {
    return syncs;
  }

  @Override
  public long instanceId() {
    return instanceId;
  }

  @Override
  public boolean isNew() {
    return fresh;
  }

  @Override
  public CompletableFuture<Void> write(List<Change> changes) {
    CompletableFuture<Void> future = new CompletableFuture<>();
    if (closed) {
      fail(future, "closed");
      return future;
    }
    if (unreportedFailures != null) {
      unreportedFailures.add(future);
      return future;
    }
    List<Change> copies = new ArrayList<>();
    for (Change change : changes) {
      copies.add(new Change(change.name(), change.bytes() == null ? null : change.bytes().clone()));
    }
    apply(current, copies);
    pending.changes.addAll(copies);
    pending.futures.add(future);
    startSync();
    return future;
  }

  @Override
  public byte[] read(String name) {
    byte[] bytes = current.get(name);
    return bytes == null ? null : bytes.clone();
  }

  @Override
  public Map<String, byte[]> page(String after, int mostBytes) {
    Map<String, byte[]> page = new LinkedHashMap<>();
    long bytes = 0;
    for (Map.Entry<String, byte[]> entry : current.tailMap(after, false).entrySet()) {
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
    for (String name : current.tailMap(prefix, true).keySet()) {
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
    for (Map.Entry<String, byte[]> entry : durable.entrySet()) {
      bytes += entry.getKey().length() + entry.getValue().length;
    }
    return bytes;
  }

  /** Fails what was not synced with STORAGE_FAILURE; the disk can be opened again. */
  @Override
  public void close() {
    closed = true;
    for (CompletableFuture<Void> future : pending.futures) {
      fail(future, "closed");
    }
    pending = new Batch();
  }

  private void startSync() {
    if (syncing != null || pending.futures.isEmpty()) {
      return;
    }
    syncing = pending;
    pending = new Batch();
    scheduleSync(minSyncMs + (long) (random.nextDouble() * (maxSyncMs - minSyncMs + 1)));
  }

  private void scheduleSync(long ms) {
    sync = timers.schedule(ms, this::onSyncDue);
  }

  private void onSyncDue() {
    if (timers.now() < stalledUntil) {
      scheduleSync(stalledUntil - timers.now());
      return;
    }
    sync = null;
    Batch done = syncing;
    syncing = null;
    if (failingWrites) {
      failBatch(done);
      return;
    }
    apply(durable, done.changes);
    syncs++;
    for (CompletableFuture<Void> future : done.futures) {
      owner.execute(() -> future.complete(null));
    }
    startSync();
  }

  private void failBatch(Batch batch) {
    List<CompletableFuture<Void>> failed = new ArrayList<>(batch.futures);
    failed.addAll(pending.futures);
    pending = new Batch();
    unreportedFailures = failed;
    current.clear();
    current.putAll(durable);
    owner.execute(
        () -> {
          if (unreportedFailures != failed) {
            return;
          }
          unreportedFailures = null;
          for (CompletableFuture<Void> future : failed) {
            future.completeExceptionally(
                new ElmsailException(ErrorCode.STORAGE_FAILURE, "the simulated disk fails writes"));
          }
        });
  }

  private void fail(CompletableFuture<Void> future, String detail) {
    owner.execute(
        () ->
            future.completeExceptionally(new ElmsailException(ErrorCode.STORAGE_FAILURE, detail)));
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
