package elmsail.storage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The writes that wait for the disk, and the writes that fail because an earlier batch failed.
 * Guarded by the lock of {@link DirectoryRecordStore}.
 *
 * <p>From the failure of a batch until {@link #endFailure()} all writes fail: they may be based on
 * pending values of the failed batch, which are now void.
 */
final class WriteQueue {
  /** Limit on the pending bytes, which bounds the memory used while the disk hangs. */
  static final long MAX_PENDING_BYTES = 64L * 1024 * 1024;

  private static final long MAX_BATCH_BYTES = 4L * 1024 * 1024;

  private final ArrayDeque<PendingWrite> queue = new ArrayDeque<>();

  /** The total size of the writes that are queued or being written. */
  private long pendingBytes;

  private boolean failing;
  private List<PendingWrite> failedSinceBatch = new ArrayList<>();
  private boolean closed;

  boolean isEmpty() {
    return queue.isEmpty();
  }

  /** Closes the queue to new writes; the queued writes are still written. */
  void close() {
    closed = true;
  }

  boolean isClosed() {
    return closed;
  }

  /** The number of pending bytes if this write is added. */
  long pendingBytesWith(PendingWrite write) {
    return pendingBytes + write.bytes;
  }

  /**
   * Whether there is room for this write. The limit for removals is higher by one batch, as
   * removals free space.
   */
  boolean hasCapacity(PendingWrite write) {
    long limit = write.hasValues ? MAX_PENDING_BYTES : MAX_PENDING_BYTES + MAX_BATCH_BYTES;
    return pendingBytesWith(write) <= limit;
  }

  void add(PendingWrite write) {
    pendingBytes += write.bytes;
    queue.add(write);
  }

  /** Takes the next batch off the queue; empty if nothing is queued. */
  List<PendingWrite> pollBatch() {
    List<PendingWrite> batch = new ArrayList<>();
    long bytes = 0;
    while (!queue.isEmpty() && (batch.isEmpty() || bytes + queue.peek().bytes <= MAX_BATCH_BYTES)) {
      bytes += queue.peek().bytes;
      batch.add(queue.poll());
    }
    return batch;
  }

  void onBatchWritten(List<PendingWrite> batch) {
    for (PendingWrite write : batch) {
      pendingBytes -= write.bytes;
    }
  }

  /** Starts a failure: returns the writes of the batch and all queued writes, which fail. */
  List<PendingWrite> failBatch(List<PendingWrite> batch) {
    failing = true;
    List<PendingWrite> all = new ArrayList<>(batch);
    all.addAll(queue);
    queue.clear();
    pendingBytes = 0;
    return all;
  }

  /** Whether a batch failed and its failure has not been reported yet. */
  boolean isFailing() {
    return failing;
  }

  /** Adds a write that fails together with the batch that failed before it. */
  void addToFailed(PendingWrite write) {
    failedSinceBatch.add(write);
  }

  /** Ends a failure: returns the writes added since it began, and accepts writes again. */
  List<PendingWrite> endFailure() {
    failing = false;
    List<PendingWrite> since = failedSinceBatch;
    failedSinceBatch = new ArrayList<>();
    return since;
  }
}
