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
  static final long WAITING_BYTES = 64L * 1024 * 1024;

  private static final long BATCH_BYTES = 4L * 1024 * 1024;

  private final ArrayDeque<PendingWrite> queue = new ArrayDeque<>();

  /** Of what waits, that being written included. */
  private long waitingBytes;

  private boolean failing;
  private List<PendingWrite> failedSince = new ArrayList<>();

  boolean isEmpty() {
    return queue.isEmpty();
  }

  /** How many bytes would wait with this one. */
  long bytesWith(PendingWrite one) {
    return waitingBytes + one.bytes;
  }

  /** Removals find room where values don't, as they are what makes room again. */
  boolean hasRoom(PendingWrite one, boolean values) {
    return bytesWith(one) <= (values ? WAITING_BYTES : WAITING_BYTES + BATCH_BYTES);
  }

  void add(PendingWrite one) {
    waitingBytes += one.bytes;
    queue.add(one);
  }

  /** The next batch, taken off the queue; empty if nothing waits. */
  List<PendingWrite> batch() {
    List<PendingWrite> batch = new ArrayList<>();
    long bytes = 0;
    while (!queue.isEmpty() && (batch.isEmpty() || bytes + queue.peek().bytes <= BATCH_BYTES)) {
      bytes += queue.peek().bytes;
      batch.add(queue.poll());
    }
    return batch;
  }

  void written(List<PendingWrite> batch) {
    for (PendingWrite one : batch) {
      waitingBytes -= one.bytes;
    }
  }

  /** Fails the batch and all that waits behind it; returns them. */
  List<PendingWrite> fail(List<PendingWrite> batch) {
    failing = true;
    List<PendingWrite> all = new ArrayList<>(batch);
    all.addAll(queue);
    queue.clear();
    waitingBytes = 0;
    return all;
  }

  /** Whether a failure has not been told yet. */
  boolean failing() {
    return failing;
  }

  /** May have been made from what was read as being written. */
  void failWithTheOthers(PendingWrite one) {
    failedSince.add(one);
  }

  /** Returns what was written since the failure; later writes are taken again. */
  List<PendingWrite> failureIsTold() {
    failing = false;
    List<PendingWrite> since = failedSince;
    failedSince = new ArrayList<>();
    return since;
  }
}
