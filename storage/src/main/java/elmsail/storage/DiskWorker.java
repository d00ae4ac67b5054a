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
  private static final int MOST_STEPS = 64;

  private final DirectoryRecordStore records;
  private final StorageDirectory folder;
  private final RecordIndex index;
  private final Object lock;
  private final Compaction compaction;
  private final long mostBytes;
  private final MonotonicClock clock;

  /** After a failed step, until a batch was written again. */
  private boolean held;

  private int steps;
  private boolean refused;

  DiskWorker(
      DirectoryRecordStore records,
      StorageDirectory folder,
      RecordIndex index,
      Object lock,
      long mostBytes,
      MonotonicClock clock) {
    this.records = records;
    this.folder = folder;
    this.index = index;
    this.lock = lock;
    this.mostBytes = mostBytes;
    this.clock = clock;
    compaction = new Compaction(mostBytes);
  }

  /** Whether there was anything to do. */
  boolean turn() {
    List<PendingWrite> batch = records.take();
    if (batch.isEmpty()) {
      return step(false);
    }
    long began = clock.now();
    try {
      write(batch);
      held = false;
      response(null);
    } catch (IOException e) {
      response(e);
      records.failed(batch, new ElmsailException(ErrorCode.STORAGE_FAILURE, "the disk refused: " + e, e));
      return true;
    } catch (ElmsailException e) {
      records.failed(batch, e);
      return true;
    } catch (RuntimeException e) {
      LOG.error("a batch could not be written", e);
      records.failed(
          batch, new ElmsailException(ErrorCode.INTERNAL, "a batch could not be written: " + e, e));
      return true;
    }
    records.written(batch, clock.now() - began);
    step(false);
    return true;
  }

  private void write(List<PendingWrite> batch) throws IOException {
    Map<String, PendingWrite.Item> newest = new LinkedHashMap<>();
    long bytes = 0;
    boolean values = false;
    for (PendingWrite waiting : batch) {
      for (PendingWrite.Item item : waiting.items) {
        newest.put(item.named().name, item);
        values |= item.bytes() != null;
      }
      bytes += waiting.bytes;
    }
    if (newest.isEmpty()) {
      return;
    }
    makeRoom(bytes, values);
    long[] at = new long[newest.size()];
    VersionFile file =
        folder.write(
            records.nextSeq(),
            to -> {
              int next = 0;
              for (PendingWrite.Item item : newest.values()) {
                at[next++] = to.record(item.utf(), item.seq(), item.bytes());
              }
            });
    synchronized (lock) {
      index.fileIsSafe(file);
      int next = 0;
      for (PendingWrite.Item item : newest.values()) {
        land(item, file, at[next++]);
      }
      index.folderIsSynced();
      for (PendingWrite.Item item : newest.values()) {
        index.tidy(item.named());
      }
    }
  }

  private void land(PendingWrite.Item item, VersionFile file, long at) {
    byte[] bytes = item.bytes();
    boolean big = bytes != null && bytes.length > RecordIndex.SMALL_BYTES;
    if (item.named().waitingSeq == item.seq()) {
      item.named().waitingSeq = 0;
      item.named().waiting = null;
    }
    index.recordIsSafe(
        item.named(),
        new RecordLocation(
            item.seq(),
            bytes != null,
            big ? null : bytes,
            file,
            at,
            VersionWriter.recordBytes(item.utf(), bytes)));
    if (big) {
      index.cache.put(item.seq(), bytes);
    }
  }

  private void makeRoom(long bytes, boolean values) {
    int mostSteps = steps + MOST_STEPS;
    held = false;
    while (diskBytes() + bytes > mostBytes / 10 * 9 && steps < mostSteps && step(true)) {
      held = false;
    }
    if (values && diskBytes() + bytes > mostBytes) {
      throw new ElmsailException(ErrorCode.RESOURCE_EXHAUSTED, "the disk's share is used up");
    }
  }

  private long diskBytes() {
    synchronized (lock) {
      return index.diskBytes();
    }
  }

  /** One step of compaction; false if there is none to do now. */
  private boolean step(boolean pressed) {
    if (held) {
      return false;
    }
    Compaction.Step step;
    synchronized (lock) {
      step = compaction.next(index, pressed);
      if (step == null
          || step.movedBytes() > 0 && index.diskBytes() + step.movedBytes() > mostBytes) {
        return false;
      }
    }
    // Held until it is known to have gone well.
    held = true;
    try {
      if (!step.moved().isEmpty()) {
        move(step.moved());
      }
      removeEmpty();
      held = false;
      steps++;
    } catch (IOException e) {
      response(e);
    }
    return !held;
  }

  private void move(List<IndexEntry> moved) throws IOException {
    long[] at = new long[moved.size()];
    VersionFile file =
        folder.write(
            records.nextSeq(),
            to -> {
              for (int i = 0; i < at.length; i++) {
                IndexEntry named = moved.get(i);
                at[i] = to.record(VersionWriter.utf(named.name), named.safe.seq(), bytes(named));
              }
            });
    synchronized (lock) {
      index.fileIsSafe(file);
      for (int i = 0; i < at.length; i++) {
        RecordLocation old = moved.get(i).safe;
        index.recordIsSafe(
            moved.get(i),
            new RecordLocation(old.seq(), old.value(), old.bytes(), file, at[i], old.length()));
      }
      index.folderIsSynced();
    }
  }

  private byte[] bytes(IndexEntry named) throws IOException {
    RecordLocation place = named.safe;
    if (!place.value()) {
      return null;
    }
    if (place.bytes() != null) {
      return place.bytes();
    }
    synchronized (lock) {
      byte[] cached = index.cache.get(place.seq());
      if (cached != null) {
        return cached;
      }
    }
    try {
      return folder.read(named.name, place);
    } catch (ElmsailException e) {
      LOG.error("version {} cannot be rewritten: {}", place.file().version, e.getMessage());
      place.file().unreadable = true;
      throw new IOException(e);
    }
  }

  private void removeEmpty() throws IOException {
    List<VersionFile> empty = new ArrayList<>();
    synchronized (lock) {
      for (VersionFile file : index.files.headMap(index.files.lastKey()).values()) {
        if (file.liveBytes == 0) {
          empty.add(file);
        }
      }
    }
    for (VersionFile file : empty) {
      folder.remove(file);
      synchronized (lock) {
        index.fileIsRemoved(file);
      }
    }
  }

  /** Steps of compaction done. */
  int steps() {
    return steps;
  }

  private void response(IOException refusal) {
    if (refusal != null && !refused) {
      LOG.warn("the disk refuses: {}", refusal.toString());
    } else if (refusal == null && refused) {
      LOG.info("the disk takes writes again");
    }
    refused = refusal != null;
  }
}
