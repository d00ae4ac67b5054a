package elmsail.storage;

import elmsail.storage.RecordStore.Change;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A storage directory with one example of each feature of the file format: small and large values,
 * a non-ASCII name, an empty value, an overwritten value, a removal, several records of one write,
 * and a version that is void because its file could not be renamed.
 *
 * <p>{@link #main} wrote the directory in the test resources. That directory is never regenerated:
 * it represents data that earlier versions of the program left on disk.
 */
final class PinnedDirectory {
  static final long INSTANCE_ID = 0x1122334455667788L;
  static final int SMALL_BYTES = 300;

  /** Larger than the values that are kept in memory. */
  static final int BIG_BYTES = RecordIndex.MAX_IN_MEMORY_BYTES + 500;

  private static final long MAX_BYTES = 1 << 24;

  private PinnedDirectory() {}

  /** Writes the directory to the path given as the first argument. */
  public static void main(String[] args) throws IOException {
    write(Path.of(args[0]));
  }

  /** The records that the directory holds after all changes. */
  static Map<String, byte[]> records() {
    Map<String, byte[]> records = new LinkedHashMap<>();
    records.put("big", filled(BIG_BYTES, 3));
    records.put("empty", new byte[0]);
    records.put("set/k/n\u00e4me%2F1", filled(SMALL_BYTES, 1));
    records.put("set/k/twice", filled(SMALL_BYTES, 5));
    records.put("spoiled", filled(SMALL_BYTES, 9));
    return records;
  }

  /** Writes the directory with the current code. */
  static void write(Path directory) throws IOException {
    FailingRenames fileSystem = new FailingRenames();
    ArrayDeque<Runnable> completions = new ArrayDeque<>();
    DirectoryRecordStore store =
        DirectoryRecordStore.openWithoutThread(
            directory, MAX_BYTES, completions::add, fileSystem, INSTANCE_ID);
    Map<String, byte[]> last = records();
    write(store, completions, change(last, "set/k/n\u00e4me%2F1"), change(last, "empty"));
    write(store, completions, change(last, "big"), new Change("gone", filled(SMALL_BYTES, 2)));
    write(store, completions, new Change("set/k/twice", filled(SMALL_BYTES, 4)));
    write(store, completions, change(last, "set/k/twice"), new Change("gone", null));
    fileSystem.renamesFail = true;
    write(store, completions, new Change("spoiled", filled(SMALL_BYTES, 8)));
    fileSystem.renamesFail = false;
    write(store, completions, change(last, "spoiled"));
    store.close();
  }

  /** Opens a directory without a thread. */
  static DirectoryRecordStore open(Path directory) {
    return DirectoryRecordStore.openWithoutThread(
        directory, MAX_BYTES, Runnable::run, new LocalFileSystem(), INSTANCE_ID + 1);
  }

  /** The files of a directory: their names and contents. */
  static Map<String, byte[]> files(Path directory) throws IOException {
    LocalFileSystem local = new LocalFileSystem();
    List<String> names = new ArrayList<>(local.list(directory));
    names.sort(null);
    Map<String, byte[]> files = new LinkedHashMap<>();
    for (String name : names) {
      files.put(name, java.nio.file.Files.readAllBytes(directory.resolve(name)));
    }
    return files;
  }

  private static Change change(Map<String, byte[]> records, String name) {
    return new Change(name, records.get(name));
  }

  private static void write(
      DirectoryRecordStore store, ArrayDeque<Runnable> completions, Change... changes) {
    store.write(List.of(changes));
    while (store.runOnce()) {
      continue;
    }
    while (!completions.isEmpty()) {
      completions.poll().run();
    }
  }

  private static byte[] filled(int length, int seed) {
    byte[] bytes = new byte[length];
    for (int i = 0; i < length; i++) {
      bytes[i] = (byte) (seed * 31 + i * 7);
    }
    return bytes;
  }

  /** The local file system with renames that can be made to fail. */
  private static final class FailingRenames implements FileSystem {
    private final FileSystem local = new LocalFileSystem();
    private boolean renamesFail;

    @Override
    public void createDirectories(Path directory) throws IOException {
      local.createDirectories(directory);
    }

    @Override
    public List<String> list(Path directory) throws IOException {
      return local.list(directory);
    }

    @Override
    public Appender create(Path file) throws IOException {
      return local.create(file);
    }

    @Override
    public void rename(Path from, Path to) throws IOException {
      if (renamesFail) {
        throw new IOException("simulated failure of a rename");
      }
      local.rename(from, to);
    }

    @Override
    public void delete(Path file) throws IOException {
      local.delete(file);
    }

    @Override
    public void syncDirectory(Path directory) throws IOException {
      local.syncDirectory(directory);
    }

    @Override
    public int read(Path file, long offset, byte[] to, int from, int length) throws IOException {
      return local.read(file, offset, to, from, length);
    }

    @Override
    public long size(Path file) throws IOException {
      return local.size(file);
    }
  }
}
