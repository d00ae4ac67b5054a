package elmsail.controlplane;

import elmsail.storage.DirectoryRecordStore;
import elmsail.storage.RecordStore;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * A data directory that waits for each write, so that each write creates a file of its own and
 * completes in the calling thread.
 *
 * @param instanceId the instance id that the process uses: the directory's own, or that of the
 *     voter that a copy of the directory represents
 */
record SynchronousRecords(DirectoryRecordStore disk, long instanceId) implements RecordStore {
  @Override
  public boolean isNew() {
    return disk.isNew();
  }

  @Override
  public CompletableFuture<Void> write(List<Change> changes) {
    CompletableFuture<Void> written = disk.write(changes);
    written.join();
    return written;
  }

  @Override
  public byte[] read(String name) {
    return disk.read(name);
  }

  @Override
  public Map<String, byte[]> page(String after, int maxBytes) {
    return disk.page(after, maxBytes);
  }

  @Override
  public Iterable<String> names(String prefix) {
    return disk.names(prefix);
  }

  @Override
  public long bytesOnDisk() {
    return disk.bytesOnDisk();
  }

  @Override
  public void close() {
    disk.close();
  }
}
