package elmsail.disk;

import elmsail.station.Code;
import elmsail.station.ElmsailException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What the disk's thread does, turn by turn: a batch of what waits, then at most one step of compaction. */
final class DiskWork {
  private static final Logger LOG = LoggerFactory.getLogger(DiskWork.class);
  private static final int MOST_STEPS = 64;

  private final FolderRecords records;
  private final Folder folder;
  private final Index index;
  private final Object lock;
  private final Compaction compaction;
  private final long mostBytes;
  /** After a failed step, until a batch was written again. */
  private boolean held;
  private int steps;
  private boolean refused;

  DiskWork(FolderRecords records, Folder folder, Index index, Object lock, long mostBytes) {
    this.records = records;
    this.folder = folder;
    this.index = index;
    this.lock = lock;
    this.mostBytes = mostBytes;
    compaction = new Compaction(mostBytes);
  }

  /** Whether there was anything to do. */
  boolean turn() {
    List<Waiting> batch = records.take();
    if (batch.isEmpty()) {
      return step(false);
    }
    try {
      write(batch);
      held = false;
      told(null);
    } catch (IOException e) {
      told(e);
      records.failed(batch, new ElmsailException(Code.DISK, "the disk refused: " + e, e));
      return true;
    } catch (ElmsailException e) {
      records.failed(batch, e);
      return true;
    } catch (RuntimeException e) {
      LOG.error("a batch could not be written", e);
      records.failed(batch, new ElmsailException(Code.FAULT, "a batch could not be written: " + e, e));
      return true;
    }
    records.written(batch);
    step(false);
    return true;
  }

  private void write(List<Waiting> batch) throws IOException {
    Map<String, Waiting.Item> newest = new LinkedHashMap<>();
    long bytes = 0;
    boolean values = false;
    for (Waiting waiting : batch) {
      for (Waiting.Item item : waiting.items) {
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
    VersionOnDisk file = folder.write(records.nextSeq(), to -> {
      int i = 0;
      for (Waiting.Item item : newest.values()) {
        at[i++] = to.record(item.utf(), item.seq(), item.bytes());
      }
    });
    synchronized (lock) {
      index.fileIsSafe(file);
      int i = 0;
      for (Waiting.Item item : newest.values()) {
        land(item, file, at[i++]);
      }
      index.folderIsSynced();
      for (Waiting.Item item : newest.values()) {
        index.tidy(item.named());
      }
    }
  }

  private void land(Waiting.Item item, VersionOnDisk file, long at) {
    byte[] bytes = item.bytes();
    boolean big = bytes != null && bytes.length > Index.SMALL_BYTES;
    if (item.named().waitingSeq == item.seq()) {
      item.named().waitingSeq = 0;
      item.named().waiting = null;
    }
    index.recordIsSafe(item.named(), new Place(item.seq(), bytes != null, big ? null : bytes, file, at,
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
      throw new ElmsailException(Code.FULL, "the disk's share is used up");
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
      if (step == null || step.movedBytes() > 0 && index.diskBytes() + step.movedBytes() > mostBytes) {
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
      told(e);
    }
    return !held;
  }

  private void move(List<Named> moved) throws IOException {
    long[] at = new long[moved.size()];
    VersionOnDisk file = folder.write(records.nextSeq(), to -> {
      for (int i = 0; i < at.length; i++) {
        Named named = moved.get(i);
        at[i] = to.record(VersionWriter.utf(named.name), named.safe.seq(), bytes(named));
      }
    });
    synchronized (lock) {
      index.fileIsSafe(file);
      for (int i = 0; i < at.length; i++) {
        Place old = moved.get(i).safe;
        index.recordIsSafe(moved.get(i), new Place(old.seq(), old.value(), old.bytes(), file, at[i],
            old.length()));
      }
      index.folderIsSynced();
    }
  }

  private byte[] bytes(Named named) throws IOException {
    Place place = named.safe;
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
    List<VersionOnDisk> empty = new ArrayList<>();
    synchronized (lock) {
      for (VersionOnDisk file : index.files.headMap(index.files.lastKey()).values()) {
        if (file.liveBytes == 0) {
          empty.add(file);
        }
      }
    }
    for (VersionOnDisk file : empty) {
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

  private void told(IOException refusal) {
    if (refusal != null && !refused) {
      LOG.warn("the disk refuses: {}", refusal.toString());
    } else if (refusal == null && refused) {
      LOG.info("the disk takes writes again");
    }
    refused = refusal != null;
  }
}
