package elmsail.storage;

import elmsail.runtime.Counters;
import elmsail.runtime.Histogram;
import java.util.List;

/** What a process counts of its disk; on the loop. */
public final class StorageCounters {
  private final Counters.Counter syncs;
  private final Counters.Counter bytesWritten;
  private final Counters.Counter failures;
  private final Histogram syncMs;

  /** Takes its figures from those of the process. */
  public StorageCounters(Counters counters) {
    syncs = counters.counter("storage_syncs");
    bytesWritten = counters.counter("storage_bytes_written");
    failures = counters.counter("storage_write_failures");
    syncMs = counters.histogram("storage_sync_ms");
  }

  /**
   * A batch of records was written as one file and synced.
   *
   * @param ms from the first write until its folder was synced
   */
  void written(List<PendingWrite> batch, long ms) {
    syncs.add(1);
    syncMs.observe(ms);
    for (PendingWrite written : batch) {
      bytesWritten.add(written.bytes);
    }
  }

  /** A batch could not be written. */
  void failed() {
    failures.add(1);
  }
}
