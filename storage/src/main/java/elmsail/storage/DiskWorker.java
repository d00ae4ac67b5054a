package elmsail.storage;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.MonotonicClock;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The work of the disk thread: each iteration writes one batch of queued writes, then does at most
 * one step of compaction. Used by the disk thread alone. Takes the lock of the store to read and
 * change the index, but doesn't hold the lock during I/O.
 */
final class DiskWorker {
  private static final Logger LOG = LoggerFactory.getLogger(DiskWorker.class);

  /** Limit on the compaction steps done to make space for one batch. */
  private static final int MAX_STEPS_PER_BATCH = 64;

  private final WriteCompletions completions;
  private final StorageDirectory directory;
  private final RecordIndex index;
  private final Object lock;
  private final Compaction compaction;
  private final long maxBytes;
  private final LongSupplier nextSeq;
  private final MonotonicClock clock;

  /** Set from a failed compaction step until a batch is written again. */
  private boolean compactionSuspended;

  private int compactionSteps;

  /** Whether the last write to disk failed; only changes of this state are logged. */
  private boolean diskFailing;

  /**
   * @param lock guards the index
   * @param nextSeq the next sequence number of the store, stored in each file
   */
  DiskWorker(
      WriteCompletions completions,
      StorageDirectory directory,
      RecordIndex index,
      Object lock,
      long maxBytes,
      LongSupplier nextSeq,
      MonotonicClock clock) {
    this.completions = completions;
    this.directory = directory;
    this.index = index;
    this.lock = lock;
    this.maxBytes = maxBytes;
    this.nextSeq = nextSeq;
    this.clock = clock;
    compaction = new Compaction(maxBytes);
  }

  /** Does one iteration; returns whether there was anything to do. */
  boolean runOnce() {
    List<PendingWrite> batch = completions.nextBatch();
    if (batch.isEmpty()) {
      return compact(false);
    }
    long startedAt = clock.now();
    try {
      write(batch);
      compactionSuspended = false;
      logDiskState(null);
    } catch (IOException e) {
      logDiskState(e);
      completions.onBatchFailed(
          batch, new ElmsailException(ErrorCode.STORAGE_FAILURE, "write failed: " + e, e));
      return true;
    } catch (ElmsailException e) {
      completions.onBatchFailed(batch, e);
      return true;
    } catch (RuntimeException e) {
      // The thread goes on: a fault in one batch fails that batch and the writes queued behind it.
      LOG.error("batch not written: directory={}", directory, e);
      completions.onBatchFailed(
          batch, new ElmsailException(ErrorCode.INTERNAL, "batch not written: " + e, e));
      return true;
    }
    completions.onBatchWritten(batch, clock.now() - startedAt);
    compact(false);
    return true;
  }

  /** Writes the newest change of each name in the batch as one file. */
  private void write(List<PendingWrite> batch) throws IOException {
    Map<String, PendingWrite.Item> newest = new LinkedHashMap<>();
    long bytes = 0;
    boolean hasValues = false;
    for (PendingWrite pending : batch) {
      for (PendingWrite.Item item : pending.records) {
        newest.put(item.entry().name, item);
      }
      hasValues |= pending.hasValues;
      bytes += pending.bytes;
    }
    if (newest.isEmpty()) {
      return;
    }
    reclaimSpace(bytes, hasValues);
    long[] offsets = new long[newest.size()];
    VersionFile file =
        directory.write(
            nextSeq.getAsLong(),
            writer -> {
              int next = 0;
              for (PendingWrite.Item item : newest.values()) {
                offsets[next++] = writer.writeRecord(item.nameUtf8(), item.seq(), item.bytes());
              }
            });
    synchronized (lock) {
      index.addFile(file);
      int next = 0;
      for (PendingWrite.Item item : newest.values()) {
        addToIndex(item, file, offsets[next++]);
      }
      index.onDirectorySynced();
      for (PendingWrite.Item item : newest.values()) {
        index.prune(item.entry());
      }
    }
  }

  /** Adds a durable record; its name stays pending if there is a newer change of that name. */
  private void addToIndex(PendingWrite.Item item, VersionFile file, long offset) {
    byte[] bytes = item.bytes();
    boolean large = bytes != null && bytes.length > RecordIndex.MAX_IN_MEMORY_BYTES;
    if (item.entry().pendingSeq == item.seq()) {
      item.entry().pendingSeq = 0;
      item.entry().pendingBytes = null;
    }
    index.addRecord(
        item.entry(),
        new RecordLocation(
            item.seq(),
            bytes != null,
            large ? null : bytes,
            file,
            offset,
            VersionWriter.recordBytes(item.nameUtf8(), bytes)));
    if (large) {
      index.cache.put(item.seq(), bytes);
    }
  }

  /**
   * Compacts until a tenth of the space would be free after this write.
   *
   * @throws ElmsailException of code {@code RESOURCE_EXHAUSTED} if the batch has values and still
   *     doesn't fit; a batch of removals alone is always written
   */
  private void reclaimSpace(long bytes, boolean hasValues) {
    int maxCompactionSteps = compactionSteps + MAX_STEPS_PER_BATCH;
    compactionSuspended = false;
    while (diskBytes() + bytes > maxBytes / 10 * 9
        && compactionSteps < maxCompactionSteps
        && compact(true)) {
      compactionSuspended = false;
    }
    if (hasValues && diskBytes() + bytes > maxBytes) {
      throw new ElmsailException(
          ErrorCode.RESOURCE_EXHAUSTED,
          "no space for " + bytes + " bytes: " + diskBytes() + " used, limit " + maxBytes);
    }
  }

  private long diskBytes() {
    synchronized (lock) {
      return index.diskBytes();
    }
  }

  /** Does one compaction step; returns false if none is worthwhile or possible, or if it failed. */
  private boolean compact(boolean spaceNeeded) {
    if (compactionSuspended) {
      return false;
    }
    Compaction.Step step;
    synchronized (lock) {
      step = compaction.nextStep(index, spaceNeeded);
      if (step == null
          || step.movedBytes() > 0 && index.diskBytes() + step.movedBytes() > maxBytes) {
        return false;
      }
    }
    // Reset below if the step succeeds.
    compactionSuspended = true;
    try {
      if (!step.moved().isEmpty()) {
        rewrite(step.moved());
      }
      deleteEmptyFiles();
      compactionSuspended = false;
      compactionSteps++;
    } catch (IOException e) {
      logDiskState(e);
    }
    return !compactionSuspended;
  }

  /** Copies live records into a new file. */
  private void rewrite(List<IndexEntry> moved) throws IOException {
    long[] offsets = new long[moved.size()];
    VersionFile file =
        directory.write(
            nextSeq.getAsLong(),
            writer -> {
              for (int i = 0; i < offsets.length; i++) {
                IndexEntry entry = moved.get(i);
                offsets[i] =
                    writer.writeRecord(
                        VersionWriter.toUtf8(entry.name), entry.durable.seq(), bytes(entry));
              }
            });
    synchronized (lock) {
      index.addFile(file);
      for (int i = 0; i < offsets.length; i++) {
        RecordLocation old = moved.get(i).durable;
        index.addRecord(
            moved.get(i),
            new RecordLocation(
                old.seq(), old.isValue(), old.bytes(), file, offsets[i], old.length()));
      }
      index.onDirectorySynced();
    }
  }

  /** The bytes of a durable record; null for a removal. */
  private byte[] bytes(IndexEntry entry) throws IOException {
    RecordLocation location = entry.durable;
    if (!location.isValue()) {
      return null;
    }
    if (location.bytes() != null) {
      return location.bytes();
    }
    synchronized (lock) {
      byte[] cached = index.cache.get(location.seq());
      if (cached != null) {
        return cached;
      }
    }
    try {
      return directory.read(entry.name, location);
    } catch (ElmsailException e) {
      LOG.error(
          "version file not compacted: directory={} version={} cause={}",
          directory,
          location.file().version,
          e.getMessage());
      location.file().unreadable = true;
      throw new IOException(e);
    }
  }

  /** Deletes the files without live records, except the newest file. */
  private void deleteEmptyFiles() throws IOException {
    List<VersionFile> empty = new ArrayList<>();
    synchronized (lock) {
      for (VersionFile file : index.files.headMap(index.files.lastKey()).values()) {
        if (file.liveBytes == 0) {
          empty.add(file);
        }
      }
    }
    for (VersionFile file : empty) {
      directory.delete(file);
      synchronized (lock) {
        index.removeFile(file);
      }
    }
  }

  /** The number of compaction steps done; for tests. */
  int compactionSteps() {
    return compactionSteps;
  }

  /** Logs when I/O begins to fail, and when it succeeds again. */
  private void logDiskState(IOException failure) {
    if (failure != null && !diskFailing) {
      LOG.warn("disk write failed: directory={} cause={}", directory, failure.toString());
    } else if (failure == null && diskFailing) {
      LOG.info("disk write succeeded again: directory={}", directory);
    }
    diskFailing = failure != null;
  }
}
