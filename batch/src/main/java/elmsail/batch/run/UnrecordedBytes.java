package elmsail.batch.run;

import elmsail.runtime.Invariant;
import elmsail.runtime.Invariants;

/**
 * The memory that result texts take until they are recorded, over all jobs that this gateway runs.
 * While it is full no further item is started. Confined to the gateway's event loop.
 */
final class UnrecordedBytes {
  private static final long MAX_BYTES = 16L << 20;

  private final Invariants invariants;
  private long bytes;

  UnrecordedBytes(Invariants invariants) {
    this.invariants = invariants;
  }

  /** Whether no further item may be started. */
  boolean isFull() {
    return bytes > MAX_BYTES;
  }

  /** Adds bytes that were received. */
  void add(long received) {
    bytes += received;
  }

  /** Releases bytes that were recorded or discarded. */
  void release(long released) {
    bytes -= released;
  }

  /** Checks, after a job was removed, that what is left can belong to the other jobs. */
  void check(int jobs) {
    invariants.check(
        Invariant.HELD_BYTES_BELONG_TO_JOBS,
        bytes >= 0 && (bytes == 0 || jobs > 0),
        () -> bytes + " bytes held for " + jobs + " jobs");
  }
}
