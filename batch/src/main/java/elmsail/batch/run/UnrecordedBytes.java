package elmsail.batch.run;

import elmsail.runtime.Invariant;
import elmsail.runtime.Invariants;

/** Bytes of texts that are not listed yet, of all jobs that a gateway runs; bounded. */
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

  /** Counts so many more; negative where some are given up or listed. */
  void add(long more) {
    bytes += more;
  }

  /** After a job was taken away: what is left belongs to the others. */
  void check(int jobs) {
    invariants.check(
        Invariant.HELD_BYTES_BELONG_TO_JOBS,
        bytes >= 0 && (bytes == 0 || jobs > 0),
        () -> bytes + " bytes held for " + jobs + " jobs");
  }
}
