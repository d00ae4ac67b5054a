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

  private static final int MAX_NAME_BYTES = 1024;
  private static final int CLOSE_TIMEOUT_MS = 2_000;
  private static final int MAX_READ_ATTEMPTS = 4;

  private final Object lock = new Object();
  private final RecordIndex index = new RecordIndex();
  private final WriteQueue queue = new WriteQueue();
  private final Executor completions;
  private final StorageDirectory directory;
  private final long maxBytes;
  private final DiskWorker worker;
  private volatile StorageCounters counters = new StorageCounters(new Counters());
  private Thread thread;

  private long nextSeq;
  private boolean closed;

  private DirectoryRecordStore(
      Path dir, long maxBytes, Executor completions, FileSystem fileSystem, long newInstanceId) {
    this.completions = completions;
    this.maxBytes = maxBytes;
    directory = new StorageDirectory(dir, fileSystem);
    directory.open(index, newInstanceId);
    nextSeq = directory.nextSeq();
    worker = new DiskWorker(this, directory, index, lock, maxBytes, MonotonicClock.SYSTEM);
  }

  /**
   * Opens a folder, which is made if it is not there; waits for the disk.
   *
   * @param maxBytes of the disk, in bytes; a tenth of it is kept free for compaction
   * @param completions runs what completes the futures, in order: the caller's loop
   * @throws ElmsailException of code DISK: the disk refuses, or a file is not as it was written
   */
  public static DirectoryRecordStore open(Path dir, long maxBytes, Executor completions) {
    return open(dir, maxBytes, completions, new LocalFileSystem());
  }

  /** With another file system in the place of the real one. */
  public static DirectoryRecordStore open(
      Path dir, long maxBytes, Executor completions, FileSystem fileSystem) {
    DirectoryRecordStore records =
        openWithoutThread(
            dir, maxBytes, completions, fileSystem, new SecureRandom().nextLong() | 1);
    records.thread = new Thread(records::run, "disk");
    records.thread.setDaemon(true);
    records.thread.start();
    return records;
  }

  /** Without a thread: {@link #runOnce} does its work. */
  static DirectoryRecordStore openWithoutThread(
      Path dir, long maxBytes, Executor completions, FileSystem fileSystem, long newInstanceId) {
    return new DirectoryRecordStore(dir, maxBytes, completions, fileSystem, newInstanceId);
  }

  /** One turn of the disk's thread; false if there was nothing to do. */
  boolean runOnce() {
    return worker.runOnce();
  }

  /** Counts from now on; the counters are touched by the executor of the completions alone. */
  public void setCounters(StorageCounters counters) {
    this.counters = counters;
  }

  @Override
  public long instanceId() {
    return directory.instanceId();
  }

  @Override
  public boolean isNew() {
    return directory.isNew();
  }

  @Override
  public CompletableFuture<Void> write(List<Change> changes) {
    PendingWrite pending = new PendingWrite();
    byte[][] utf = new byte[changes.size()][];
    boolean hasValues = false;
    for (int i = 0; i < utf.length; i++) {
      Change change = changes.get(i);
      utf[i] = VersionWriter.toUtf8(change.name());
      if (utf[i].length == 0 || utf[i].length > MAX_NAME_BYTES) {
        throw new ElmsailException(
            ErrorCode.INTERNAL, "a record's name of " + utf[i].length + " bytes");
      }
      hasValues |= change.bytes() != null;
      pending.bytes += VersionWriter.recordBytes(utf[i], change.bytes());
    }
    synchronized (lock) {
      if (closed) {
        return CompletableFuture.failedFuture(
            new ElmsailException(ErrorCode.STORAGE_FAILURE, "the records are closed"));
      }
      if (queue.isFailing()) {
        queue.addToFailed(pending);
        return pending.completion;
      }
      if (!queue.hasCapacity(pending, hasValues)
          || hasValues && index.liveBytes() + queue.pendingBytesWith(pending) > maxBytes / 10 * 9) {
        return CompletableFuture.failedFuture(
            new ElmsailException(ErrorCode.RESOURCE_EXHAUSTED, "no room on the disk"));
      }
      for (int i = 0; i < utf.length; i++) {
        IndexEntry entry = index.entryFor(changes.get(i).name());
        entry.pendingSeq = nextSeq++;
        entry.pendingBytes = changes.get(i).bytes();
        pending.records.add(
            new PendingWrite.Item(entry, utf[i], entry.pendingSeq, entry.pendingBytes));
      }
      queue.add(pending);
      lock.notifyAll();
    }
    return pending.completion;
  }

  /** Its array is not to be changed, as those given to {@link #write}. */
  @Override
  public byte[] read(String name) {
    for (int attempt = 1; ; attempt++) {
      RecordLocation location;
      synchronized (lock) {
        IndexEntry entry = index.entries.get(name);
        if (entry == null || !entry.exists()) {
          return null;
        }
        if (entry.pendingSeq != 0) {
          return entry.pendingBytes;
        }
        location = entry.durable;
        byte[] bytes =
            location.bytes() != null ? location.bytes() : index.cache.get(location.seq());
        if (bytes != null) {
          return bytes;
        }
      }
      try {
        byte[] bytes = directory.read(name, location);
        synchronized (lock) {
          IndexEntry entry = index.entries.get(name);
          if (entry != null && entry.durable != null && entry.durable.seq() == location.seq()) {
            index.cache.put(location.seq(), bytes);
          }
        }
        return bytes;
      } catch (IOException e) {
        if (attempt == MAX_READ_ATTEMPTS || !hasMoved(name, location)) {
          throw new ElmsailException(ErrorCode.STORAGE_FAILURE, "a record cannot be read: " + e, e);
        }
      }
    }
  }

  private boolean hasMoved(String name, RecordLocation location) {
    synchronized (lock) {
      IndexEntry entry = index.entries.get(name);
      return entry == null || entry.durable != location;
    }
  }

  @Override
  public Map<String, byte[]> page(String after, int maxBytes) {
    Map<String, byte[]> page = new LinkedHashMap<>();
    String name = after == null ? "" : after;
    long bytes = 0;
    while (bytes < maxBytes) {
      synchronized (lock) {
        name = index.entries.higherKey(name);
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
      for (IndexEntry entry : index.entries.tailMap(prefix, true).values()) {
        if (!entry.name.startsWith(prefix)) {
          break;
        }
        if (entry.exists()) {
          found.add(entry.name);
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
        thread.join(CLOSE_TIMEOUT_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private void run() {
    try {
      runUntilClosed();
    } catch (RejectedExecutionException e) {
      LOG.info("the disk's thread ends with the loop");
    } catch (Error e) {
      onBatchFailed(
          List.of(), new ElmsailException(ErrorCode.INTERNAL, "the disk's thread ended", e));
      throw e;
    }
  }

  private void runUntilClosed() {
    while (true) {
      if (!worker.runOnce()) {
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

  int compactionSteps() {
    return worker.compactionSteps();
  }

  /** Names in memory, those of removals that are still needed included. */
  int indexedNames() {
    synchronized (lock) {
      return index.entries.size();
    }
  }

  long nextSeq() {
    synchronized (lock) {
      return nextSeq;
    }
  }

  /** The next batch for the disk's thread; empty if nothing waits. */
  List<PendingWrite> nextBatch() {
    synchronized (lock) {
      return queue.pollBatch();
    }
  }

  void onBatchWritten(List<PendingWrite> batch, long ms) {
    synchronized (lock) {
      queue.onBatchWritten(batch);
    }
    completions.execute(
        () -> {
          counters.written(batch, ms);
          for (PendingWrite pending : batch) {
            pending.completion.complete(null);
          }
        });
  }

  void onBatchFailed(List<PendingWrite> batch, ElmsailException cause) {
    List<PendingWrite> all;
    synchronized (lock) {
      all = queue.failBatch(batch);
      for (PendingWrite pending : all) {
        for (PendingWrite.Item item : pending.records) {
          item.entry().pendingSeq = 0;
          item.entry().pendingBytes = null;
          index.prune(item.entry());
        }
      }
    }
    completions.execute(() -> completeFailed(all, cause));
  }

  private void completeFailed(List<PendingWrite> all, ElmsailException cause) {
    counters.failed();
    synchronized (lock) {
      all.addAll(queue.endFailure());
    }
    for (PendingWrite pending : all) {
      pending.completion.completeExceptionally(cause);
    }
  }
}
