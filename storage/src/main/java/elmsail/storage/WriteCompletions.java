package elmsail.storage;

import elmsail.runtime.Counters;
import elmsail.runtime.ElmsailException;
import java.util.List;
import java.util.concurrent.Executor;

/**
 * Passes batches of writes to the disk thread, and reports their outcome on the executor of the
 * store. The disk thread calls all methods but {@link #setCounters}; futures are completed without
 * holding the lock.
 */
final class WriteCompletions {
  private final Object lock;
  private final WriteQueue queue;
  private final RecordIndex index;
  private final Executor executor;

  /** Replaced by the caller's thread; updated only on the executor. */
  private volatile StorageCounters counters = new StorageCounters(new Counters());

  /**
   * @param lock guards the queue and the index
   * @param executor completes the futures, in order
   */
  WriteCompletions(Object lock, WriteQueue queue, RecordIndex index, Executor executor) {
    this.lock = lock;
    this.queue = queue;
    this.index = index;
    this.executor = executor;
  }

  void setCounters(StorageCounters counters) {
    this.counters = counters;
  }

  /** The next batch to write; empty if nothing is queued. */
  List<PendingWrite> nextBatch() {
    synchronized (lock) {
      return queue.pollBatch();
    }
  }

  /**
   * Completes the writes of a batch that is on disk.
   *
   * @param durationMs from the start of the write until the directory was synced
   */
  void onBatchWritten(List<PendingWrite> batch, long durationMs) {
    synchronized (lock) {
      queue.onBatchWritten(batch);
    }
    executor.execute(
        () -> {
          counters.written(batch, durationMs);
          for (PendingWrite write : batch) {
            write.completion.complete(null);
          }
        });
  }

  /** Fails a batch that could not be written, and all writes queued behind it. */
  void onBatchFailed(List<PendingWrite> batch, ElmsailException cause) {
    List<PendingWrite> failed;
    synchronized (lock) {
      failed = queue.failBatch(batch);
      for (PendingWrite write : failed) {
        write.removeFrom(index);
      }
    }
    executor.execute(() -> completeFailed(failed, cause));
  }

  private void completeFailed(List<PendingWrite> failed, ElmsailException cause) {
    counters.failed();
    synchronized (lock) {
      failed.addAll(queue.endFailure());
    }
    for (PendingWrite write : failed) {
      write.completion.completeExceptionally(cause);
    }
  }
}
