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
 * A disk whose writes take a while; a crash loses those not told to be safe, from some point on.
 */
final class LossyRecords implements RecordStore {
  private record PendingWrite(List<Change> changes, CompletableFuture<Void> done) {}

  /** What is on the disk itself. */
  static final class Platter {
    long instanceId;
    boolean everOpened;
    TreeMap<String, byte[]> safe = new TreeMap<>();

    /** The defect: futures complete before anything is safe. */
    boolean tellsEarly;
  }

  private final Platter platter;
  private final Timers timers;
  private final Random chance;
  private final boolean fresh;
  private final TreeMap<String, byte[]> seen;
  private final ArrayDeque<PendingWrite> queue = new ArrayDeque<>();
  private boolean busy;

  /** So many of the next writes fail, with all that waits behind them. */
  int failing;

  LossyRecords(Platter platter, Timers timers, Random chance) {
    this.platter = platter;
    this.timers = timers;
    this.chance = chance;
    fresh = !platter.everOpened;
    if (fresh) {
      platter.instanceId = chance.nextLong() | 1;
      platter.everOpened = true;
    }
    seen = new TreeMap<>(platter.safe);
  }

  boolean idle() {
    return queue.isEmpty();
  }

  @Override
  public long instanceId() {
    return platter.instanceId;
  }

  @Override
  public boolean fresh() {
    return fresh;
  }

  @Override
  public CompletableFuture<Void> write(List<Change> changes) {
    apply(seen, changes);
    PendingWrite waiting = new PendingWrite(List.copyOf(changes), new CompletableFuture<>());
    queue.add(waiting);
    if (platter.tellsEarly) {
      timers.execute(() -> waiting.done.complete(null));
    }
    next();
    return waiting.done;
  }

  private void next() {
    if (busy || queue.isEmpty()) {
      return;
    }
    busy = true;
    timers.schedule(
        1 + chance.nextInt(12),
        () -> {
          busy = false;
          if (failing > 0) {
            failing--;
            fail();
            return;
          }
          int batch = 1 + chance.nextInt(queue.size());
          List<PendingWrite> written = new ArrayList<>();
          for (int i = 0; i < batch; i++) {
            PendingWrite one = queue.poll();
            apply(platter.safe, one.changes);
            written.add(one);
          }
          next();
          for (PendingWrite one : written) {
            one.done.complete(null);
          }
        });
  }

  private void fail() {
    List<PendingWrite> failed = new ArrayList<>(queue);
    queue.clear();
    seen.clear();
    seen.putAll(platter.safe);
    for (PendingWrite one : failed) {
      one.done.completeExceptionally(new ElmsailException(ErrorCode.STORAGE_FAILURE, "refused"));
    }
  }

  /** The power goes: some of what was under way may be on the disk all the same, in order. */
  void crash() {
    int kept = platter.tellsEarly ? 0 : chance.nextInt(queue.size() + 1);
    for (int i = 0; i < kept; i++) {
      apply(platter.safe, queue.poll().changes);
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
    return seen.get(name);
  }

  @Override
  public Map<String, byte[]> page(String after, int mostBytes) {
    Map<String, byte[]> page = new LinkedHashMap<>();
    int bytes = 0;
    for (Map.Entry<String, byte[]> one : seen.tailMap(after, false).entrySet()) {
      if (bytes >= mostBytes) {
        break;
      }
      page.put(one.getKey(), one.getValue());
      bytes += one.getValue().length;
    }
    return page;
  }

  @Override
  public Iterable<String> names(String prefix) {
    List<String> names = new ArrayList<>();
    for (String name : seen.tailMap(prefix, true).keySet()) {
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
