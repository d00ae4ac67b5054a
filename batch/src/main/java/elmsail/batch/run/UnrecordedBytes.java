package elmsail.batch.run;

import elmsail.runtime.Invariant;
import elmsail.runtime.Invariants;

/**
 * Counts the bytes of result texts that are not recorded yet, over all jobs that this gateway runs.
 * While the count exceeds its limit, no further item is started. Confined to the gateway's event
 * loop.
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

  /** Adds bytes that were received from servers. */
  void add(long received) {
    bytes += received;
  }

  /** Subtracts bytes that were recorded or discarded. */
  void release(long released) {
    bytes -= released;
  }

  /**
   * Checks the invariant after a job was removed: the count is not negative, and zero without jobs.
   */
  void check(int jobs) {
    invariants.check(
        Invariant.HELD_BYTES_BELONG_TO_JOBS,
        bytes >= 0 && (bytes == 0 || jobs > 0),
        () -> bytes + " bytes of unrecorded results counted for " + jobs + " jobs");
  }
}
