package elmsail.consensus;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Timers;
import elmsail.storage.RecordStore;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * A store with delayed writes. A crash loses the writes after a random point among those that were
 * not reported as durable. Unlike {@code SimDisk}, this store draws its delays and batches from the
 * random generator of the whole run.
 */
final class LossyRecordStore implements RecordStore {
  private record PendingWrite(List<Change> changes, CompletableFuture<Void> done) {}

  /** The content of a disk, which survives the end of its process. */
  static final class DiskImage {
    long instanceId;
    boolean everOpened;
    TreeMap<String, byte[]> durable = new TreeMap<>();

    /** An injected defect: writes complete before they are durable. */
    boolean completesBeforeSync;
  }

  private final DiskImage disk;
  private final Timers timers;
  private final Random random;
  private final boolean isNew;
  private final TreeMap<String, byte[]> visible;
  private final ArrayDeque<PendingWrite> queue = new ArrayDeque<>();
  private boolean writing;

  /** The number of the next batches that fail, together with all writes queued after them. */
  int batchesToFail;

  LossyRecordStore(DiskImage disk, Timers timers, Random random) {
    this.disk = disk;
    this.timers = timers;
    this.random = random;
    isNew = !disk.everOpened;
    if (isNew) {
      disk.instanceId = random.nextLong() | 1;
      disk.everOpened = true;
    }
    visible = new TreeMap<>(disk.durable);
  }

  boolean isIdle() {
    return queue.isEmpty();
  }

  @Override
  public long instanceId() {
    return disk.instanceId;
  }

  @Override
  public boolean isNew() {
    return isNew;
  }

  @Override
  public CompletableFuture<Void> write(List<Change> changes) {
    apply(visible, changes);
    PendingWrite pending = new PendingWrite(List.copyOf(changes), new CompletableFuture<>());
    queue.add(pending);
    if (disk.completesBeforeSync) {
      timers.execute(() -> pending.done.complete(null));
    }
    writeNextBatch();
    return pending.done;
  }

  private void writeNextBatch() {
    if (writing || queue.isEmpty()) {
      return;
    }
    writing = true;
    timers.schedule(
        1 + random.nextInt(12),
        () -> {
          writing = false;
          if (batchesToFail > 0) {
            batchesToFail--;
            failQueuedWrites();
            return;
          }
          int batch = 1 + random.nextInt(queue.size());
          List<PendingWrite> written = new ArrayList<>();
          for (int i = 0; i < batch; i++) {
            PendingWrite write = queue.poll();
            apply(disk.durable, write.changes);
            written.add(write);
          }
          writeNextBatch();
          for (PendingWrite write : written) {
            write.done.complete(null);
          }
        });
  }

  private void failQueuedWrites() {
    List<PendingWrite> failed = new ArrayList<>(queue);
    queue.clear();
    visible.clear();
    visible.putAll(disk.durable);
    for (PendingWrite write : failed) {
      write.done.completeExceptionally(
          new ElmsailException(ErrorCode.STORAGE_FAILURE, "injected write failure"));
    }
  }

  /** Simulates a power loss: a random number of the pending writes, in order, are durable. */
  void crash() {
    int kept = disk.completesBeforeSync ? 0 : random.nextInt(queue.size() + 1);
    for (int i = 0; i < kept; i++) {
      apply(disk.durable, queue.poll().changes);
    }
    queue.clear();
  }

  private static void apply(TreeMap<String, byte[]> to, List<Change> changes) {
    for (Change change : changes) {
      if (change.bytes() == null) {
        to.remove(change.name());
      } else {
        to.put(change.name(), change.bytes());
      }
    }
  }

  @Override
  public byte[] read(String name) {
    return visible.get(name);
  }

  @Override
  public Map<String, byte[]> page(String after, int maxBytes) {
    Map<String, byte[]> page = new LinkedHashMap<>();
    int bytes = 0;
    for (Map.Entry<String, byte[]> entry : visible.tailMap(after, false).entrySet()) {
      if (bytes >= maxBytes) {
        break;
      }
      page.put(entry.getKey(), entry.getValue());
      bytes += entry.getValue().length;
    }
    return page;
  }

  @Override
  public Iterable<String> names(String prefix) {
    List<String> names = new ArrayList<>();
    for (String name : visible.tailMap(prefix, true).keySet()) {
      if (!name.startsWith(prefix)) {
        break;
      }
      names.add(name);
    }
    return names;
  }

  @Override
  public long bytesOnDisk() {
    return 0;
  }

  @Override
  public void close() {
    queue.clear();
  }
}
