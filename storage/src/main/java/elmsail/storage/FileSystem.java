package elmsail.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * The file operations of the store; tests use a simulated file system in place of the local one.
 */
public interface FileSystem {

  /** Creates a directory and its missing parents, and makes them durable. */
  void createDirectories(Path directory) throws IOException;

  /** The names of the files in a directory, without its path, in any order. */
  List<String> list(Path directory) throws IOException;

  /** Creates a file for appending; an existing file of that name is truncated. */
  Appender create(Path file) throws IOException;

  /** Renames a file atomically; an existing file of the new name is replaced. */
  void rename(Path from, Path to) throws IOException;

  /** Deletes a file, if it exists. */
  void delete(Path file) throws IOException;

  /** Makes the creations, renames and deletions in a directory durable. */
  void syncDirectory(Path directory) throws IOException;

  /**
   * Reads part of a file. Two threads may call this method concurrently.
   *
   * @param offset in the file, in bytes
   * @param from index in {@code to}
   * @return the number of bytes read: less than {@code length} only if the file ends before
   */
  int read(Path file, long offset, byte[] to, int from, int length) throws IOException;

  /** The size of a file in bytes. */
  long size(Path file) throws IOException;

  /** A file that is being written. */
  interface Appender extends Closeable {
    /** Appends bytes; until {@link #sync} a power loss may lose them. */
    void append(byte[] bytes, int from, int length) throws IOException;

    /** Returns once all appended bytes are durable. */
    void sync() throws IOException;
  }
}
