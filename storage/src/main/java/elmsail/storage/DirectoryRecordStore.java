package elmsail.storage;

import elmsail.runtime.Counters;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.MonotonicClock;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * RecordStore in a folder of version files. One thread calls, one of its own writes; what both know
 * is behind one lock, under which no disk is waited for; a {@link #read} of a big record waits for
 * the disk.
 *
 * <p>After a failed batch, all that waits, and all that is written until the failure has been told
 * on the executor, fails too: it may have been made from what was read as being written. Later
 * writes are taken.
 */
public final class DirectoryRecordStore implements RecordStore {
  private static final Logger LOG = LoggerFactory.getLogger(DirectoryRecordStore.class);

  private static final int NAME_BYTES = 1024;
  private static final int CLOSE_MS = 2_000;
  private static final int READS = 4;

  private final Object lock = new Object();
  private final RecordIndex index = new RecordIndex();
  private final WriteQueue queue = new WriteQueue();
  private final Executor completions;
  private final StorageDirectory folder;
  private final long mostBytes;
  private final DiskWorker work;
  private volatile StorageCounters counters = new StorageCounters(new Counters());
  private Thread thread;

  private long nextSeq;
  private boolean closed;

  private DirectoryRecordStore(
      Path dir, long mostBytes, Executor completions, Files files, long newLife) {
    this.completions = completions;
    this.mostBytes = mostBytes;
    folder = new StorageDirectory(dir, files);
    folder.open(index, newLife);
    nextSeq = folder.nextSeq();
    work = new DiskWorker(this, folder, index, lock, mostBytes, MonotonicClock.SYSTEM);
  }

  /**
   * Opens a folder, which is made if it is not there; waits for the disk.
   *
   * @param mostBytes of the disk, in bytes; a tenth of it is kept free for compaction
   * @param completions runs what completes the futures, in order: the caller's loop
   * @throws ElmsailException of code DISK: the disk refuses, or a file is not as it was written
   */
  public static DirectoryRecordStore open(Path dir, long mostBytes, Executor completions) {
    return open(dir, mostBytes, completions, new LocalFiles());
  }

  /** With another file system in the place of the real one. */
  public static DirectoryRecordStore open(
      Path dir, long mostBytes, Executor completions, Files files) {
    DirectoryRecordStore records =
        byHand(dir, mostBytes, completions, files, new SecureRandom().nextLong() | 1);
    records.thread = new Thread(records::run, "disk");
    records.thread.setDaemon(true);
    records.thread.start();
    return records;
  }

  /** Without a thread: {@link #turn} does its work. */
  static DirectoryRecordStore byHand(
      Path dir, long mostBytes, Executor completions, Files files, long newLife) {
    return new DirectoryRecordStore(dir, mostBytes, completions, files, newLife);
  }

  /** One turn of the disk's thread; false if there was nothing to do. */
  boolean turn() {
    return work.turn();
  }

  /** Counts from now on; the counters are touched by the executor of the completions alone. */
  public void countIn(StorageCounters counters) {
    this.counters = counters;
  }

  @Override
  public long instanceId() {
    return folder.instanceId();
  }

  @Override
  public boolean fresh() {
    return folder.fresh();
  }

  @Override
  public CompletableFuture<Void> write(List<Change> changes) {
    PendingWrite waiting = new PendingWrite();
    byte[][] utf = new byte[changes.size()][];
    boolean values = false;
    for (int i = 0; i < utf.length; i++) {
      Change change = changes.get(i);
      utf[i] = VersionWriter.utf(change.name());
      if (utf[i].length == 0 || utf[i].length > NAME_BYTES) {
        throw new ElmsailException(
            ErrorCode.INTERNAL, "a record's name of " + utf[i].length + " bytes");
      }
      values |= change.bytes() != null;
      waiting.bytes += VersionWriter.recordBytes(utf[i], change.bytes());
    }
    synchronized (lock) {
      if (closed) {
        return CompletableFuture.failedFuture(
            new ElmsailException(ErrorCode.STORAGE_FAILURE, "the records are closed"));
      }
      if (queue.failing()) {
        queue.failWithTheOthers(waiting);
        return waiting.done;
      }
      if (!queue.hasRoom(waiting, values)
          || values && index.liveBytes() + queue.bytesWith(waiting) > mostBytes / 10 * 9) {
        return CompletableFuture.failedFuture(
            new ElmsailException(ErrorCode.RESOURCE_EXHAUSTED, "no room on the disk"));
      }
      for (int i = 0; i < utf.length; i++) {
        IndexEntry named = index.named(changes.get(i).name());
        named.waitingSeq = nextSeq++;
        named.waiting = changes.get(i).bytes();
        waiting.items.add(new PendingWrite.Item(named, utf[i], named.waitingSeq, named.waiting));
      }
      queue.add(waiting);
      lock.notifyAll();
    }
    return waiting.done;
  }

  /** Its array is not to be changed, as those given to {@link #write}. */
  @Override
  public byte[] read(String name) {
    for (int tries = 1; ; tries++) {
      RecordLocation place;
      synchronized (lock) {
        IndexEntry named = index.names.get(name);
        if (named == null || !named.there()) {
          return null;
        }
        if (named.waitingSeq != 0) {
          return named.waiting;
        }
        place = named.safe;
        byte[] bytes = place.bytes() != null ? place.bytes() : index.cache.get(place.seq());
        if (bytes != null) {
          return bytes;
        }
      }
      try {
        byte[] bytes = folder.read(name, place);
        synchronized (lock) {
          IndexEntry named = index.names.get(name);
          if (named != null && named.safe != null && named.safe.seq() == place.seq()) {
            index.cache.put(place.seq(), bytes);
          }
        }
        return bytes;
      } catch (IOException e) {
        if (tries == READS || !movedFrom(name, place)) {
          throw new ElmsailException(ErrorCode.STORAGE_FAILURE, "a record cannot be read: " + e, e);
        }
      }
    }
  }

  private boolean movedFrom(String name, RecordLocation place) {
    synchronized (lock) {
      IndexEntry named = index.names.get(name);
      return named == null || named.safe != place;
    }
  }

  @Override
  public Map<String, byte[]> page(String after, int mostBytes) {
    Map<String, byte[]> page = new LinkedHashMap<>();
    String name = after == null ? "" : after;
    long bytes = 0;
    while (bytes < mostBytes) {
      synchronized (lock) {
        name = index.names.higherKey(name);
      }
      if (name == null) {
        break;
      }
      byte[] value = read(name);
      if (value != null) {
        page.put(name, value);
        bytes += name.length() + value.length;
      }
    }
    return page;
  }

  /** As they stand now: changes made while it is gone through are not seen. */
  @Override
  public Iterable<String> names(String prefix) {
    List<String> found = new ArrayList<>();
    synchronized (lock) {
      for (IndexEntry named : index.names.tailMap(prefix, true).values()) {
        if (!named.name.startsWith(prefix)) {
          break;
        }
        if (named.there()) {
          found.add(named.name);
        }
      }
    }
    return found;
  }

  @Override
  public long bytesOnDisk() {
    synchronized (lock) {
      return index.diskBytes();
    }
  }

  /** Waits for what was written before it, 2 s at most; nothing is taken afterwards. */
  @Override
  public void close() {
    synchronized (lock) {
      closed = true;
      lock.notifyAll();
    }
    if (thread != null) {
      try {
        thread.join(CLOSE_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private void run() {
    try {
      turns();
    } catch (RejectedExecutionException e) {
      LOG.info("the disk's thread ends with the loop");
    } catch (Error e) {
      failed(List.of(), new ElmsailException(ErrorCode.INTERNAL, "the disk's thread ended", e));
      throw e;
    }
  }

  private void turns() {
    while (true) {
      if (!work.turn()) {
        synchronized (lock) {
          while (queue.isEmpty()) {
            if (closed) {
              return;
            }
            try {
              lock.wait();
            } catch (InterruptedException e) {
              return;
            }
          }
        }
      }
    }
  }

  int compactions() {
    return work.steps();
  }

  /** Names in memory, those of removals that are still needed included. */
  int indexed() {
    synchronized (lock) {
      return index.names.size();
    }
  }

  long nextSeq() {
    synchronized (lock) {
      return nextSeq;
    }
  }

  /** The next batch for the disk's thread; empty if nothing waits. */
  List<PendingWrite> take() {
    synchronized (lock) {
      return queue.batch();
    }
  }

  void written(List<PendingWrite> batch, long ms) {
    synchronized (lock) {
      queue.written(batch);
    }
    completions.execute(
        () -> {
          counters.written(batch, ms);
          for (PendingWrite waiting : batch) {
            waiting.done.complete(null);
          }
        });
  }

  void failed(List<PendingWrite> batch, ElmsailException why) {
    List<PendingWrite> all;
    synchronized (lock) {
      all = queue.fail(batch);
      for (PendingWrite waiting : all) {
        for (PendingWrite.Item item : waiting.items) {
          item.named().waitingSeq = 0;
          item.named().waiting = null;
          index.tidy(item.named());
        }
      }
    }
    completions.execute(() -> tellFailed(all, why));
  }

  private void tellFailed(List<PendingWrite> all, ElmsailException why) {
    counters.failed();
    synchronized (lock) {
      all.addAll(queue.failureIsTold());
    }
    for (PendingWrite waiting : all) {
      waiting.done.completeExceptionally(why);
    }
  }
}
