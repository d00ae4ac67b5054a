package elmsail.storage;

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

/**
 * A {@link RecordStore} in a directory of version files.
 *
 * <p>Threads: the thread of the caller's event loop calls the methods, and the {@link DiskThread}
 * writes. The state shared by both threads (the index, the queue and the next sequence number) is
 * guarded by {@code lock}, which is not held during I/O. Only {@link #open}, {@link #close} and the
 * {@link #read} of a large record wait for the disk.
 *
 * <p>After a failed batch, all queued writes fail too, and so do all writes made until the failure
 * has been reported on the executor: these writes may be based on pending values that were read
 * before the batch failed. Later writes are accepted.
 */
public final class DirectoryRecordStore implements RecordStore {
  /**
   * Limit on the attempts to read a record, which compaction may move to another file meanwhile.
   */
  private static final int MAX_READ_ATTEMPTS = 4;

  private final Object lock = new Object();
  private final RecordIndex index = new RecordIndex();
  private final WriteQueue queue = new WriteQueue();
  private final StorageDirectory directory;
  private final long maxBytes;
  private final WriteCompletions completions;
  private final DiskWorker worker;

  /** Null in tests, which call {@link #runOnce} in place of the thread. */
  private DiskThread thread;

  /** The sequence number of the next change; guarded by {@code lock}. */
  private long nextSeq;

  private DirectoryRecordStore(
      Path path, long maxBytes, Executor executor, FileSystem fileSystem, long newInstanceId) {
    this.maxBytes = maxBytes;
    directory = new StorageDirectory(path, fileSystem);
    directory.open(index, newInstanceId);
    nextSeq = directory.nextSeq();
    completions = new WriteCompletions(lock, queue, index, executor);
    worker =
        new DiskWorker(
            completions, directory, index, lock, maxBytes, this::nextSeq, MonotonicClock.SYSTEM);
  }

  /**
   * Opens a directory, which is created if it does not exist, and starts the disk thread. Waits for
   * the disk.
   *
   * @param maxBytes limit on the total size of the version files; a tenth is kept free for
   *     compaction
   * @param executor completes the futures, in order: the caller's event loop
   * @throws ElmsailException of code {@code STORAGE_FAILURE} if an I/O operation fails or a file is
   *     corrupt
   */
  public static DirectoryRecordStore open(Path path, long maxBytes, Executor executor) {
    return open(path, maxBytes, executor, new LocalFileSystem());
  }

  /** As {@link #open(Path, long, Executor)}, on the given file system. */
  public static DirectoryRecordStore open(
      Path path, long maxBytes, Executor executor, FileSystem fileSystem) {
    DirectoryRecordStore store =
        openWithoutThread(path, maxBytes, executor, fileSystem, new SecureRandom().nextLong() | 1);
    store.thread = new DiskThread(store.worker, store.completions, store.lock, store.queue);
    store.thread.start();
    return store;
  }

  /** Opens a directory without a disk thread: {@link #runOnce} does the work of that thread. */
  static DirectoryRecordStore openWithoutThread(
      Path path, long maxBytes, Executor executor, FileSystem fileSystem, long newInstanceId) {
    return new DirectoryRecordStore(path, maxBytes, executor, fileSystem, newInstanceId);
  }

  /** Does one iteration of the disk thread's work; returns false if there was nothing to do. */
  boolean runOnce() {
    return worker.runOnce();
  }

  /** Replaces the counters, which are updated only on the executor. */
  public void setCounters(StorageCounters counters) {
    completions.setCounters(counters);
  }

  @Override
  public long instanceId() {
    return directory.instanceId();
  }

  @Override
  public boolean isNew() {
    return directory.isNew();
  }

  /**
   * {@inheritDoc}
   *
   * @throws ElmsailException of code {@code INTERNAL} if a name is empty or longer than 1,024 bytes
   */
  @Override
  public CompletableFuture<Void> write(List<Change> changes) {
    PendingWrite write = new PendingWrite(changes);
    synchronized (lock) {
      if (queue.isClosed()) {
        return CompletableFuture.failedFuture(
            new ElmsailException(ErrorCode.STORAGE_FAILURE, "the store is closed"));
      }
      if (queue.isFailing()) {
        queue.addToFailed(write);
        return write.completion;
      }
      if (!queue.hasCapacity(write) || write.hasValues && !hasSpaceFor(write)) {
        return CompletableFuture.failedFuture(
            new ElmsailException(
                ErrorCode.RESOURCE_EXHAUSTED,
                "no space for a write of " + write.bytes + " bytes, limit " + maxBytes));
      }
      nextSeq = write.addTo(index, nextSeq);
      queue.add(write);
      lock.notifyAll();
    }
    return write.completion;
  }

  /** Whether the live records and all pending writes, with this one, fit in 9/10 of the limit. */
  private boolean hasSpaceFor(PendingWrite write) {
    return index.liveBytes() + queue.pendingBytesWith(write) <= maxBytes / 10 * 9;
  }

  /** {@inheritDoc} The array must not be modified, like the arrays given to {@link #write}. */
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
        return readFromDisk(name, location);
      } catch (IOException e) {
        if (attempt == MAX_READ_ATTEMPTS || !hasMoved(name, location)) {
          throw new ElmsailException(
              ErrorCode.STORAGE_FAILURE, "record " + name + " cannot be read: " + e, e);
        }
      }
    }
  }

  private byte[] readFromDisk(String name, RecordLocation location) throws IOException {
    byte[] bytes = directory.read(name, location);
    synchronized (lock) {
      IndexEntry entry = index.entries.get(name);
      if (entry != null && entry.durable != null && entry.durable.seq() == location.seq()) {
        index.cache.put(location.seq(), bytes);
      }
    }
    return bytes;
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

  /** {@inheritDoc} Returns a copy, which later changes don't affect. */
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

  /** Waits up to 2 s until all earlier writes are on disk; later writes fail. */
  @Override
  public void close() {
    synchronized (lock) {
      queue.close();
      lock.notifyAll();
    }
    if (thread != null) {
      thread.join();
    }
  }

  /** The number of compaction steps done since the store was opened. */
  int compactionSteps() {
    return worker.compactionSteps();
  }

  /** The number of names in the index, including names of removals that are still needed. */
  int indexedNames() {
    synchronized (lock) {
      return index.entries.size();
    }
  }

  /** The sequence number of the next change. */
  long nextSeq() {
    synchronized (lock) {
      return nextSeq;
    }
  }
}
