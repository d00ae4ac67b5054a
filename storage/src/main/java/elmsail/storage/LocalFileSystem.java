package elmsail.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The local file system. Uses one small direct buffer for each thread, so that the memory outside
 * the heap stays bounded. Thread-safe.
 */
final class LocalFileSystem implements FileSystem {
  private static final Logger LOG = LoggerFactory.getLogger(LocalFileSystem.class);
  private static final int CHUNK_BYTES = 64 * 1024;

  // One buffer for each thread that uses this file system; freed with the file system.
  @SuppressWarnings("ThreadLocalUsage")
  private final ThreadLocal<ByteBuffer> chunks = new ThreadLocal<>();

  private ByteBuffer chunk() {
    ByteBuffer chunk = chunks.get();
    if (chunk == null) {
      chunk = ByteBuffer.allocateDirect(CHUNK_BYTES);
      chunks.set(chunk);
    }
    chunk.clear();
    return chunk;
  }

  @Override
  public void createDirectories(Path directory) throws IOException {
    Deque<Path> missing = new ArrayDeque<>();
    Path current = directory.toAbsolutePath();
    while (current != null && !java.nio.file.Files.isDirectory(current)) {
      missing.push(current);
      current = current.getParent();
    }
    for (Path path : missing) {
      java.nio.file.Files.createDirectories(path);
      try {
        syncDirectory(path.getParent());
      } catch (IOException e) {
        // The parent directory doesn't belong to the store, and may not be readable. A data
        // directory that is lost with its parent counts as a lost disk.
        LOG.info("parent directory cannot be synced: directory={} cause={}", path, e.toString());
      }
    }
  }

  @Override
  public List<String> list(Path directory) throws IOException {
    List<String> names = new ArrayList<>();
    try (DirectoryStream<Path> files = java.nio.file.Files.newDirectoryStream(directory)) {
      for (Path file : files) {
        names.add(file.getFileName().toString());
      }
    } catch (java.nio.file.DirectoryIteratorException e) {
      throw e.getCause();
    }
    return names;
  }

  @Override
  public Appender create(Path file) throws IOException {
    FileChannel channel =
        FileChannel.open(
            file,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING);
    return new ChannelAppender(channel);
  }

  @Override
  public void rename(Path from, Path to) throws IOException {
    java.nio.file.Files.move(from, to, StandardCopyOption.ATOMIC_MOVE);
  }

  @Override
  public void delete(Path file) throws IOException {
    java.nio.file.Files.deleteIfExists(file);
  }

  @Override
  public void syncDirectory(Path directory) throws IOException {
    try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  @Override
  public int read(Path file, long offset, byte[] to, int from, int length) throws IOException {
    int done = 0;
    try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
      while (done < length) {
        ByteBuffer chunk = chunk();
        chunk.limit(Math.min(CHUNK_BYTES, length - done));
        int count = channel.read(chunk, offset + done);
        if (count <= 0) {
          break;
        }
        chunk.flip();
        chunk.get(to, from + done, count);
        done += count;
      }
    }
    return done;
  }

  @Override
  public long size(Path file) throws IOException {
    return java.nio.file.Files.size(file);
  }

  private final class ChannelAppender implements Appender {
    private final FileChannel channel;

    ChannelAppender(FileChannel channel) {
      this.channel = channel;
    }

    @Override
    public void append(byte[] bytes, int from, int length) throws IOException {
      int done = 0;
      while (done < length) {
        ByteBuffer chunk = chunk();
        int part = Math.min(CHUNK_BYTES, length - done);
        chunk.put(bytes, from + done, part).flip();
        while (chunk.hasRemaining()) {
          channel.write(chunk);
        }
        done += part;
      }
    }

    @Override
    public void sync() throws IOException {
      channel.force(true);
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }
}
