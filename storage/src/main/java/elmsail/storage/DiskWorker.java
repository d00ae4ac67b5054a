package elmsail.storage;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.MonotonicClock;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the disk's thread does, turn by turn: a batch of what waits, then at most one step of
 * compaction.
 */
final class DiskWorker {
  private static final Logger LOG = LoggerFactory.getLogger(DiskWorker.class);
  private static final int MAX_STEPS_PER_BATCH = 64;

  private final DirectoryRecordStore store;
  private final StorageDirectory directory;
  private final RecordIndex index;
  private final Object lock;
  private final Compaction compaction;
  private final long maxBytes;
  private final MonotonicClock clock;

  /** After a failed step, until a batch was written again. */
  private boolean compactionSuspended;

  private int compactionSteps;
  private boolean diskFailing;

  DiskWorker(
      DirectoryRecordStore store,
      StorageDirectory directory,
      RecordIndex index,
      Object lock,
      long maxBytes,
      MonotonicClock clock) {
    this.store = store;
    this.directory = directory;
    this.index = index;
    this.lock = lock;
    this.maxBytes = maxBytes;
    this.clock = clock;
    compaction = new Compaction(maxBytes);
  }

  /** Whether there was anything to do. */
  boolean runOnce() {
    List<PendingWrite> batch = store.nextBatch();
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
      store.onBatchFailed(
          batch, new ElmsailException(ErrorCode.STORAGE_FAILURE, "the disk refused: " + e, e));
      return true;
    } catch (ElmsailException e) {
      store.onBatchFailed(batch, e);
      return true;
    } catch (RuntimeException e) {
      LOG.error("a batch could not be written", e);
      store.onBatchFailed(
          batch, new ElmsailException(ErrorCode.INTERNAL, "a batch could not be written: " + e, e));
      return true;
    }
    store.onBatchWritten(batch, clock.now() - startedAt);
    compact(false);
    return true;
  }

  private void write(List<PendingWrite> batch) throws IOException {
    Map<String, PendingWrite.Item> newest = new LinkedHashMap<>();
    long bytes = 0;
    boolean hasValues = false;
    for (PendingWrite pending : batch) {
      for (PendingWrite.Item item : pending.records) {
        newest.put(item.entry().name, item);
        hasValues |= item.bytes() != null;
      }
      bytes += pending.bytes;
    }
    if (newest.isEmpty()) {
      return;
    }
    reclaimSpace(bytes, hasValues);
    long[] at = new long[newest.size()];
    VersionFile file =
        directory.write(
            store.nextSeq(),
            writer -> {
              int next = 0;
              for (PendingWrite.Item item : newest.values()) {
                at[next++] = writer.writeRecord(item.nameUtf8(), item.seq(), item.bytes());
              }
            });
    synchronized (lock) {
      index.addFile(file);
      int next = 0;
      for (PendingWrite.Item item : newest.values()) {
        addToIndex(item, file, at[next++]);
      }
      index.onDirectorySynced();
      for (PendingWrite.Item item : newest.values()) {
        index.prune(item.entry());
      }
    }
  }

  private void addToIndex(PendingWrite.Item item, VersionFile file, long offset) {
    byte[] bytes = item.bytes();
    boolean big = bytes != null && bytes.length > RecordIndex.MAX_IN_MEMORY_BYTES;
    if (item.entry().pendingSeq == item.seq()) {
      item.entry().pendingSeq = 0;
      item.entry().pendingBytes = null;
    }
    index.addRecord(
        item.entry(),
        new RecordLocation(
            item.seq(),
            bytes != null,
            big ? null : bytes,
            file,
            offset,
            VersionWriter.recordBytes(item.nameUtf8(), bytes)));
    if (big) {
      index.cache.put(item.seq(), bytes);
    }
  }

  private void reclaimSpace(long bytes, boolean hasValues) {
    int maxCompactionSteps = compactionSteps + MAX_STEPS_PER_BATCH;
    compactionSuspended = false;
    while (diskBytes() + bytes > maxBytes / 10 * 9
        && compactionSteps < maxCompactionSteps
        && compact(true)) {
      compactionSuspended = false;
    }
    if (hasValues && diskBytes() + bytes > maxBytes) {
      throw new ElmsailException(ErrorCode.RESOURCE_EXHAUSTED, "the disk's share is used up");
    }
  }

  private long diskBytes() {
    synchronized (lock) {
      return index.diskBytes();
    }
  }

  /** One step of compaction; false if there is none to do now. */
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
    // Held until it is known to have gone well.
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

  private void rewrite(List<IndexEntry> moved) throws IOException {
    long[] at = new long[moved.size()];
    VersionFile file =
        directory.write(
            store.nextSeq(),
            writer -> {
              for (int i = 0; i < at.length; i++) {
                IndexEntry entry = moved.get(i);
                at[i] =
                    writer.writeRecord(
                        VersionWriter.toUtf8(entry.name), entry.durable.seq(), bytes(entry));
              }
            });
    synchronized (lock) {
      index.addFile(file);
      for (int i = 0; i < at.length; i++) {
        RecordLocation old = moved.get(i).durable;
        index.addRecord(
            moved.get(i),
            new RecordLocation(old.seq(), old.isValue(), old.bytes(), file, at[i], old.length()));
      }
      index.onDirectorySynced();
    }
  }

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
      LOG.error("version {} cannot be rewritten: {}", location.file().version, e.getMessage());
      location.file().unreadable = true;
      throw new IOException(e);
    }
  }

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

  /** Steps of compaction done. */
  int compactionSteps() {
    return compactionSteps;
  }

  private void logDiskState(IOException failure) {
    if (failure != null && !diskFailing) {
      LOG.warn("the disk refuses: {}", failure.toString());
    } else if (failure == null && diskFailing) {
      LOG.info("the disk takes writes again");
    }
    diskFailing = failure != null;
  }
}
