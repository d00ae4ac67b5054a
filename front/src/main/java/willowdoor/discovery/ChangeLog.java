package willowdoor.discovery;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.zip.CRC32C;
import willowdoor.discovery.ListJson.BadList;
import willowdoor.discovery.ListJson.Message;

/**
 * Stores the list on disk as a snapshot followed by a log of changes, one line of text each: the
 * checksum in eight hexadecimal digits, a space, the message. A change takes effect only after it
 * is synced. A version that may have been written is never used for a different change: after a
 * truncated line or a failed write that version is skipped, and a snapshot records the skip before
 * any change follows. Only one process can hold the folder at a time.
 */
class ChangeLog implements Closeable {

  private static final Logger LOG = Logger.getLogger(ChangeLog.class.getName());
  private static final int SUM = 8;

  /**
   * A snapshot is written once the log exceeds this size or the size of the snapshot, whichever is
   * larger.
   */
  private static final long LEAST_BOUND = 1 << 20;

  private final Path dir;
  private final Path log;
  private final Path snapshot;
  private final FileChannel lock;
  private FileChannel out;
  private long length;
  private final long leastBound;
  private long bound;
  private HostList list;

  /** A write failed: the content on disk after the last valid line is unknown. */
  private boolean unsure;

  /** Locks the folder, creates it if absent, and reads its content. */
  ChangeLog(Path dir) throws IOException {
    this(dir, LEAST_BOUND);
  }

  ChangeLog(Path dir, long leastBound) throws IOException {
    this.dir = dir;
    this.leastBound = leastBound;
    bound = leastBound;
    log = dir.resolve("log");
    snapshot = dir.resolve("snapshot");
    Files.createDirectories(dir);
    lock =
        FileChannel.open(dir.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    try {
      FileLock held = lock.tryLock();
      if (held == null) {
        throw new IOException("another process holds " + dir);
      }
      recover();
    } catch (IOException | RuntimeException e) {
      close();
      throw e;
    }
  }

  /** The list as stored on disk. */
  HostList list() {
    return list;
  }

  /**
   * Appends the changes, which together form the list's next version, and returns the new list. The
   * changes are on disk when this method returns; if it throws, the list is unchanged.
   */
  HostList append(List<Entry> changes) throws IOException {
    if (unsure) {
      putSnapshot(passingNextVersion());
    }
    HostList next = list.with(list.version() + 1, changes);
    byte[] line =
        line(new Message(next.version(), false, changes)).getBytes(StandardCharsets.UTF_8);
    unsure = true;
    step("append");
    write(out, ByteBuffer.wrap(line));
    step("sync");
    out.force(false);
    step("synced");
    unsure = false;
    length += line.length;
    list = next;
    if (length > bound) {
      boundLog();
    }
    return list;
  }

  /**
   * Writes a snapshot to limit the log's size. The changes are durable without the snapshot: if the
   * snapshot cannot be written, the next change tries again.
   */
  private void boundLog() {
    try {
      putSnapshot(list);
    } catch (IOException e) {
      LOG.log(Level.SEVERE, "cannot write a snapshot into " + dir, e);
    }
  }

  /**
   * Replaces the snapshot by one of the given list, then starts a new log. Each step is a rename,
   * in this order.
   */
  private void putSnapshot(HostList whole) throws IOException {
    unsure = true;
    Path next = dir.resolve("snapshot.new");
    byte[] line =
        line(new Message(whole.version(), true, whole.present())).getBytes(StandardCharsets.UTF_8);
    try (FileChannel file = create(next)) {
      step("snapshot");
      write(file, ByteBuffer.wrap(line));
      step("snapshot written");
      file.force(true);
    }
    step("snapshot synced");
    move(next, snapshot);
    step("snapshot in place");
    Path empty = dir.resolve("log.new");
    create(empty).close();
    step("log begun");
    move(empty, log);
    step("log in place");
    openLog();
    bound = Math.max(leastBound, line.length);
    list = whole;
    unsure = false;
  }

  /**
   * Returns the same list with the next version skipped: that version may be on disk or may even
   * have been published.
   */
  private HostList passingNextVersion() {
    return HostList.whole(list.version() + 2, list.present());
  }

  private void openLog() throws IOException {
    if (out != null) {
      out.close();
    }
    out =
        FileChannel.open(
            log, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.APPEND);
    syncFolder();
    length = out.size();
  }

  private static FileChannel create(Path file) throws IOException {
    return FileChannel.open(
        file,
        StandardOpenOption.CREATE,
        StandardOpenOption.TRUNCATE_EXISTING,
        StandardOpenOption.WRITE);
  }

  private void move(Path from, Path to) throws IOException {
    Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    syncFolder();
  }

  /** Syncs the folder: a new or renamed file is durable only after its folder is synced. */
  private void syncFolder() throws IOException {
    try (FileChannel folder = FileChannel.open(dir, StandardOpenOption.READ)) {
      folder.force(true);
    }
  }

  /**
   * Marks a step of writing to disk; a test terminates the process, or throws, at any of these
   * steps.
   */
  void step(String name) throws IOException {}

  private static void write(FileChannel file, ByteBuffer bytes) throws IOException {
    while (bytes.hasRemaining()) {
      file.write(bytes);
    }
  }

  private void recover() throws IOException {
    byte[] kept = bytes(snapshot);
    list = HostList.whole(0, List.of());
    if (kept.length > 0) {
      Message whole = message(kept, 0, kept.length - 1);
      if (kept[kept.length - 1] != '\n' || whole == null || !whole.full()) {
        throw new IOException(snapshot + " is damaged: put a backup in its place");
      }
      list = HostList.whole(whole.version(), whole.servers());
      bound = Math.max(leastBound, kept.length);
    }
    byte[] lines = bytes(log);
    int good = replay(lines);
    if (good < lines.length) {
      int cut = lines.length - good;
      LOG.warning(() -> log + ": the last line is incomplete; discarding its " + cut + " bytes");
      putSnapshot(passingNextVersion());
      return;
    }
    openLog();
  }

  /** Applies the changes up to an incomplete last line. Returns the number of bytes applied. */
  private int replay(byte[] lines) throws IOException {
    int from = 0;
    for (int number = 1; from < lines.length; number++) {
      int end = from;
      while (end < lines.length && lines[end] != '\n') {
        end++;
      }
      Message change = end == lines.length ? null : message(lines, from, end);
      if (change == null && end >= lines.length - 1) {
        return from;
      }
      if (change == null || change.full() || change.version() > list.version() + 1) {
        throw new IOException(
            log + " is damaged in line " + number + ": put a backup in its place");
      }
      // Skip changes that the snapshot contains already: the process ended before the new log was
      // started.
      if (change.version() > list.version()) {
        list = list.with(change.version(), change.servers());
      }
      from = end + 1;
    }
    return from;
  }

  private static byte[] bytes(Path file) throws IOException {
    try {
      return Files.readAllBytes(file);
    } catch (NoSuchFileException e) {
      return new byte[0];
    }
  }

  static String line(Message message) {
    byte[] text = ListJson.write(message, true);
    return sum(text) + ' ' + new String(text, StandardCharsets.UTF_8) + '\n';
  }

  /** Returns the message of a line, or null if the line is damaged. */
  private static Message message(byte[] lines, int from, int end) {
    if (end - from <= SUM) {
      return null;
    }
    byte[] text = new byte[end - from - SUM - 1];
    System.arraycopy(lines, from + SUM + 1, text, 0, text.length);
    String told = new String(lines, from, SUM + 1, StandardCharsets.ISO_8859_1);
    try {
      return told.equals(sum(text) + ' ') ? ListJson.read(text) : null;
    } catch (BadList e) {
      return null;
    }
  }

  private static String sum(byte[] text) {
    CRC32C sum = new CRC32C();
    sum.update(text);
    return String.format("%08x", sum.getValue());
  }

  @Override
  public void close() throws IOException {
    if (out != null) {
      out.close();
    }
    lock.close();
  }
}
