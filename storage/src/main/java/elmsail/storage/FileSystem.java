package elmsail.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * The file operations of the store; tests use a simulated file system in place of the local one.
 */
public interface FileSystem {

  /**
   * Creates a directory and those above it, if they don't exist, so that a power loss keeps them.
   */
  void createDirectories(Path directory) throws IOException;

  /** The names of the files in a directory, without its path, in any order. */
  List<String> list(Path directory) throws IOException;

  /** Opens an empty file for appending; one of that name is truncated. */
  Appender create(Path file) throws IOException;

  /** Renames a file atomically; a file of the new name is replaced. */
  void rename(Path from, Path to) throws IOException;

  /** Deletes a file, if it exists. */
  void delete(Path file) throws IOException;

  /** Makes the creations, renames and deletions in a directory durable. */
  void syncDirectory(Path directory) throws IOException;

  /**
   * Reads part of a file. Called by two threads at a time.
   *
   * @param offset in the file, in bytes
   * @param from index in {@code to}
   * @return the bytes read: less than {@code length} only if the file ends before
   */
  int read(Path file, long offset, byte[] to, int from, int length) throws IOException;

  /** The size of a file in bytes. */
  long size(Path file) throws IOException;

  /** A file that is being written. */
  interface Appender extends Closeable {
    /** Appends bytes; until {@link #sync} a power loss may lose them. */
    void append(byte[] bytes, int from, int length) throws IOException;

    /** Returns once all that was appended is durable. */
    void sync() throws IOException;
  }
}
