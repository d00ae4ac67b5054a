package elmsail.storage;

import elmsail.runtime.Counters;
import elmsail.runtime.Histogram;
import java.util.List;

/** The counters of a store. Used on the executor of the store, the caller's event loop. */
public final class StorageCounters {
  private final Counters.Counter syncs;
  private final Counters.Counter bytesWritten;
  private final Counters.Counter failures;
  private final Histogram syncMs;

  /** Registers the counters under their exported names. */
  public StorageCounters(Counters counters) {
    syncs = counters.counter("storage_syncs");
    bytesWritten = counters.counter("storage_bytes_written");
    failures = counters.counter("storage_write_failures");
    syncMs = counters.histogram("storage_sync_ms");
  }

  /**
   * Counts a batch that was written as one file and synced.
   *
   * @param durationMs from the start of the write until the directory was synced
   */
  void written(List<PendingWrite> batch, long durationMs) {
    syncs.add(1);
    syncMs.observe(durationMs);
    for (PendingWrite written : batch) {
      bytesWritten.add(written.bytes);
    }
  }

  /** Counts a batch that could not be written. */
  void failed() {
    failures.add(1);
  }
}
