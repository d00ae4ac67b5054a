package elmsail.storage;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.util.List;
import java.util.concurrent.RejectedExecutionException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The thread "disk": runs the {@link DiskWorker} until the queue is closed and empty. */
final class DiskThread {
  private static final Logger LOG = LoggerFactory.getLogger(DiskThread.class);
  private static final int CLOSE_TIMEOUT_MS = 2_000;

  private final DiskWorker worker;
  private final WriteCompletions completions;
  private final Object lock;
  private final WriteQueue queue;
  private final Thread thread = new Thread(this::run, "disk");

  /**
   * A thread that is not started yet.
   *
   * @param lock guards the queue, and is notified when the queue changes
   */
  DiskThread(DiskWorker worker, WriteCompletions completions, Object lock, WriteQueue queue) {
    this.worker = worker;
    this.completions = completions;
    this.lock = lock;
    this.queue = queue;
    thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  /** Waits up to 2 s for the thread to end. */
  void join() {
    try {
      thread.join(CLOSE_TIMEOUT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    try {
      runUntilClosed();
    } catch (RejectedExecutionException e) {
      LOG.info("disk thread ended: the event loop is closed");
    } catch (Error e) {
      completions.onBatchFailed(
          List.of(),
          new ElmsailException(ErrorCode.INTERNAL, "the disk thread ended with an error", e));
      throw e;
    }
  }

  private void runUntilClosed() {
    while (worker.runOnce() || awaitWrites()) {
      continue;
    }
  }

  /** Waits for writes; returns false once the queue is closed and empty, or on interruption. */
  private boolean awaitWrites() {
    synchronized (lock) {
      while (queue.isEmpty()) {
        if (queue.isClosed()) {
          return false;
        }
        try {
          lock.wait();
        } catch (InterruptedException e) {
          return false;
        }
      }
      return true;
    }
  }
}
