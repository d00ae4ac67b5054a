package elmsail.storage;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * An in-memory file system that simulates a power loss before operation {@code powerLossAt}. Synced
 * content survives the power loss; each unsynced write or change of a name is kept, lost or, for
 * writes, torn. The file system can also fail operations, before or after they take effect, and
 * skip syncs (a defect that tests have to detect).
 */
final class PowerLossFileSystem implements FileSystem {
  /** Simulates the power loss; an {@code Error}, so that the store doesn't handle it. */
  static final class PowerLost extends Error {
    private static final long serialVersionUID = 1;

    PowerLost() {
      super("power lost", null, false, false);
    }
  }

  /** What a power loss does to unsynced writes and changes of names. */
  enum UnsyncedFate {
    KEPT,
    LOST,
    TORN
  }

  private static final class Inode {
    byte[] bytes = new byte[0];
    int synced;
    final List<int[]> unsynced = new ArrayList<>();
  }

  private record NameChange(String from, String to, Inode created) {}

  private Map<String, Inode> names = new TreeMap<>();
  private Map<String, Inode> durableNames = new TreeMap<>();
  private final List<NameChange> unsyncedChanges = new ArrayList<>();
  private final Random random;
  int operations;
  int powerLossAt = Integer.MAX_VALUE;

  /** The probability that an operation fails. */
  double failureRate;

  boolean skipFileSyncs;
  boolean skipDirectorySyncs;
  boolean directoryExists;

  PowerLossFileSystem(long seed) {
    random = new Random(seed);
  }

  private synchronized void begin() throws IOException {
    if (++operations >= powerLossAt) {
      throw new PowerLost();
    }
    if (failureRate > 0 && random.nextDouble() < failureRate) {
      throw new IOException("simulated failure before the operation");
    }
  }

  private void end() throws IOException {
    if (failureRate > 0 && random.nextDouble() < failureRate) {
      throw new IOException("simulated failure after the operation");
    }
  }

  /** Simulates a power loss and a restart. */
  synchronized void losePower(UnsyncedFate unsynced) {
    Map<String, Inode> remaining = new TreeMap<>(durableNames);
    for (NameChange change : unsyncedChanges) {
      if (unsynced == UnsyncedFate.LOST || unsynced == UnsyncedFate.TORN && random.nextBoolean()) {
        continue;
      }
      if (change.created != null) {
        remaining.put(change.to, change.created);
      } else {
        Inode moved = remaining.remove(change.from);
        if (moved != null && change.to != null) {
          remaining.put(change.to, moved);
        }
      }
    }
    unsyncedChanges.clear();
    for (Inode inode : remaining.values()) {
      if (unsynced == UnsyncedFate.LOST) {
        inode.bytes = Arrays.copyOf(inode.bytes, inode.synced);
      } else if (unsynced == UnsyncedFate.TORN) {
        tear(inode);
      }
      inode.synced = inode.bytes.length;
      inode.unsynced.clear();
    }
    names = remaining;
    durableNames = new TreeMap<>(remaining);
    powerLossAt = Integer.MAX_VALUE;
    operations = 0;
  }

  private void tear(Inode inode) {
    byte[] torn = Arrays.copyOf(inode.bytes, inode.synced);
    for (int[] part : inode.unsynced) {
      int kept =
          switch (random.nextInt(3)) {
            case 0 -> 0;
            case 1 -> part[1];
            default -> random.nextInt(part[1] + 1);
          };
      if (kept > 0) {
        torn = Arrays.copyOf(torn, Math.max(torn.length, part[0] + kept));
        System.arraycopy(inode.bytes, part[0], torn, part[0], kept);
      }
    }
    inode.bytes = torn;
  }

  /** The content of all files, for tests that corrupt them. */
  synchronized Map<String, byte[]> contents() {
    Map<String, byte[]> all = new TreeMap<>();
    names.forEach((name, inode) -> all.put(name, inode.bytes));
    return all;
  }

  synchronized void put(String name, byte[] bytes) {
    Inode inode = new Inode();
    inode.bytes = bytes;
    inode.synced = bytes.length;
    names.put(name, inode);
    durableNames.put(name, inode);
    directoryExists = true;
  }

  private static String fileName(Path file) {
    return file.getFileName().toString();
  }

  private Inode inode(Path file) throws IOException {
    Inode inode = names.get(fileName(file));
    if (inode == null) {
      throw new NoSuchFileException(fileName(file));
    }
    return inode;
  }

  @Override
  public synchronized void createDirectories(Path directory) throws IOException {
    begin();
    directoryExists = true;
  }

  @Override
  public synchronized List<String> list(Path directory) throws IOException {
    begin();
    if (!directoryExists) {
      throw new NoSuchFileException(directory.toString());
    }
    return new ArrayList<>(names.keySet());
  }

  @Override
  public synchronized Appender create(Path file) throws IOException {
    begin();
    Inode inode = new Inode();
    names.put(fileName(file), inode);
    unsyncedChanges.add(new NameChange(null, fileName(file), inode));
    end();
    return new InodeAppender(inode);
  }

  @Override
  public synchronized void rename(Path from, Path to) throws IOException {
    begin();
    Inode inode = inode(from);
    names.remove(fileName(from));
    names.put(fileName(to), inode);
    unsyncedChanges.add(new NameChange(fileName(from), fileName(to), null));
    end();
  }

  @Override
  public synchronized void delete(Path file) throws IOException {
    begin();
    if (names.remove(fileName(file)) != null) {
      unsyncedChanges.add(new NameChange(fileName(file), null, null));
    }
    end();
  }

  @Override
  public synchronized void syncDirectory(Path directory) throws IOException {
    begin();
    if (!skipDirectorySyncs) {
      unsyncedChanges.clear();
      durableNames = new TreeMap<>(names);
    }
    end();
  }

  @Override
  public synchronized int read(Path file, long offset, byte[] to, int from, int length)
      throws IOException {
    Inode inode = inode(file);
    int part = (int) Math.max(0, Math.min(length, inode.bytes.length - offset));
    System.arraycopy(inode.bytes, (int) offset, to, from, part);
    return part;
  }

  @Override
  public synchronized long size(Path file) throws IOException {
    return inode(file).bytes.length;
  }

  private final class InodeAppender implements Appender {
    private final Inode inode;

    InodeAppender(Inode inode) {
      this.inode = inode;
    }

    @Override
    public void append(byte[] bytes, int from, int length) throws IOException {
      synchronized (PowerLossFileSystem.this) {
        begin();
        int at = inode.bytes.length;
        inode.bytes = Arrays.copyOf(inode.bytes, at + length);
        System.arraycopy(bytes, from, inode.bytes, at, length);
        inode.unsynced.add(new int[] {at, length});
        end();
      }
    }

    @Override
    public void sync() throws IOException {
      synchronized (PowerLossFileSystem.this) {
        begin();
        if (!skipFileSyncs) {
          inode.synced = inode.bytes.length;
          inode.unsynced.clear();
          // The sync of a new file makes its name durable too.
          for (NameChange change : unsyncedChanges) {
            if (change.created == inode) {
              durableNames.put(change.to, inode);
            }
          }
          unsyncedChanges.removeIf(c -> c.created == inode);
        }
        end();
      }
    }

    @Override
    public void close() {}
  }
}
