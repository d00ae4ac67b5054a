package elmsail.storage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Writes that wait for the disk, and those that fail with a batch that failed: all that is written
 * from there until the failure has been told. Guarded by the lock of {@link DirectoryRecordStore}.
 */
final class WriteQueue {
  /** Bytes that may wait for a disk that hangs. */
  static final long MAX_PENDING_BYTES = 64L * 1024 * 1024;

  private static final long MAX_BATCH_BYTES = 4L * 1024 * 1024;

  private final ArrayDeque<PendingWrite> queue = new ArrayDeque<>();

  /** Of what waits, that being written included. */
  private long pendingBytes;

  private boolean isFailing;
  private List<PendingWrite> failedSinceBatch = new ArrayList<>();

  boolean isEmpty() {
    return queue.isEmpty();
  }

  /** How many bytes would wait with this one. */
  long pendingBytesWith(PendingWrite pending) {
    return pendingBytes + pending.bytes;
  }

  /** Removals find room where values don't, as they are what makes room again. */
  boolean hasCapacity(PendingWrite pending, boolean hasValues) {
    return pendingBytesWith(pending)
        <= (hasValues ? MAX_PENDING_BYTES : MAX_PENDING_BYTES + MAX_BATCH_BYTES);
  }

  void add(PendingWrite pending) {
    pendingBytes += pending.bytes;
    queue.add(pending);
  }

  /** The next batch, taken off the queue; empty if nothing waits. */
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
    for (PendingWrite pending : batch) {
      pendingBytes -= pending.bytes;
    }
  }

  /** Fails the batch and all that waits behind it; returns them. */
  List<PendingWrite> failBatch(List<PendingWrite> batch) {
    isFailing = true;
    List<PendingWrite> all = new ArrayList<>(batch);
    all.addAll(queue);
    queue.clear();
    pendingBytes = 0;
    return all;
  }

  /** Whether a failure has not been told yet. */
  boolean isFailing() {
    return isFailing;
  }

  /** May have been made from what was read as being written. */
  void addToFailed(PendingWrite pending) {
    failedSinceBatch.add(pending);
  }

  /** Returns what was written since the failure; later writes are taken again. */
  List<PendingWrite> endFailure() {
    isFailing = false;
    List<PendingWrite> since = failedSinceBatch;
    failedSinceBatch = new ArrayList<>();
    return since;
  }
}
