package elmsail.storage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The writes that wait for the disk, and those that fail because a batch before them failed.
 * Guarded by the lock of {@link DirectoryRecordStore}.
 *
 * <p>From the failure of a batch until {@link #endFailure()} all writes fail: they may have been
 * made from values that were read while they were pending, and are now void.
 */
final class WriteQueue {
  /** Limit on the bytes that wait for a disk that hangs. */
  static final long MAX_PENDING_BYTES = 64L * 1024 * 1024;

  private static final long MAX_BATCH_BYTES = 4L * 1024 * 1024;

  private final ArrayDeque<PendingWrite> queue = new ArrayDeque<>();

  /** The bytes of all writes that are queued or being written. */
  private long pendingBytes;

  private boolean failing;
  private List<PendingWrite> failedSinceBatch = new ArrayList<>();
  private boolean closed;

  boolean isEmpty() {
    return queue.isEmpty();
  }

  /** Ends the queue: what is queued is written still. */
  void close() {
    closed = true;
  }

  boolean isClosed() {
    return closed;
  }

  /** The bytes that would be pending with this write. */
  long pendingBytesWith(PendingWrite write) {
    return pendingBytes + write.bytes;
  }

  /**
   * Whether there is room for this write. Removals have a little more of it than values, as they
   * are what frees space.
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

  /** Fails a batch and all that is queued behind it; returns them. */
  List<PendingWrite> failBatch(List<PendingWrite> batch) {
    failing = true;
    List<PendingWrite> all = new ArrayList<>(batch);
    all.addAll(queue);
    queue.clear();
    pendingBytes = 0;
    return all;
  }

  /** Whether a batch failed and that has not been reported yet. */
  boolean isFailing() {
    return failing;
  }

  /** Lets a write fail with the batch that failed before it. */
  void addToFailed(PendingWrite write) {
    failedSinceBatch.add(write);
  }

  /** The failure is being reported: returns what failed since, and accepts writes again. */
  List<PendingWrite> endFailure() {
    failing = false;
    List<PendingWrite> since = failedSinceBatch;
    failedSinceBatch = new ArrayList<>();
    return since;
  }
}
