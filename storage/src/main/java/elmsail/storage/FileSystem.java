package elmsail.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** What the records ask of a file system; tests put a simulated one in its place. */
public interface FileSystem {

  /** Makes the folder where it does not stand yet. */
  void createDirectories(Path directory) throws IOException;

  /** The plain names in a folder, in any order. */
  List<String> list(Path directory) throws IOException;

  /** An empty file, open for appending; one of that name is emptied. */
  Appender create(Path file) throws IOException;

  /** Gives the file its new name in one step; a file of that name is replaced. */
  void rename(Path from, Path to) throws IOException;

  /** Also when there is no such file. */
  void delete(Path file) throws IOException;

  /** Makes renamed and removed names last. */
  void syncDirectory(Path directory) throws IOException;

  /**
   * Reads until {@code length} bytes are there or the file ends; returns how many. Called by two
   * threads.
   */
  int read(Path file, long offset, byte[] to, int from, int length) throws IOException;

  /** The bytes of the file. */
  long size(Path file) throws IOException;

  /** A file that is being written. */
  interface Appender extends Closeable {
    /** Adds the bytes at the end; they may be lost with the power until {@link #sync}. */
    void append(byte[] bytes, int from, int length) throws IOException;

    /** Returns when all that was appended is on the disk. */
    void sync() throws IOException;
  }
}
