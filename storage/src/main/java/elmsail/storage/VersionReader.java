package elmsail.storage;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * Reads a version file in chunks of 64 kB, and verifies all checksums; {@link VersionWriter}
 * describes the format. Used by one thread.
 */
final class VersionReader {
  private static final int CHUNK_BYTES = 64 * 1024;

  private final FileSystem fileSystem;
  private final Path file;
  private final long size;
  private final byte[] chunk;
  private final CRC32C recordCrc = new CRC32C();
  private final CRC32C fileCrc = new CRC32C();

  /** The file offset of the end of the chunk. */
  private long chunkEnd;

  private int chunkLength;
  private int chunkPosition;

  final long version;
  final long instanceId;
  final long nextSeq;
  final long[] voids;

  /** Receives each record of the file, in the order written. */
  interface RecordVisitor {
    /**
     * Receives one record.
     *
     * @param isValue true for a value, false for a removal
     * @param bytes null for a removal, and for a value over the given limit
     * @param offset of the record in the file
     * @param length of the record with its checksum
     */
    void visit(String name, long seq, boolean isValue, byte[] bytes, long offset, int length);
  }

  /**
   * Reads the header of a file.
   *
   * @throws ElmsailException of code {@code STORAGE_FAILURE} if the header is corrupt
   */
  VersionReader(FileSystem fileSystem, Path file) throws IOException {
    this.fileSystem = fileSystem;
    this.file = file;
    size = fileSystem.size(file);
    chunk = new byte[(int) Math.min(CHUNK_BYTES, Math.max(size, 1))];
    ByteBuffer header = ByteBuffer.wrap(readChecked(VersionWriter.HEADER_BYTES));
    check(header.getInt() == VersionWriter.MAGIC && header.getInt() == VersionWriter.FORMAT);
    version = header.getLong();
    instanceId = header.getLong();
    nextSeq = header.getLong();
    int count = header.getInt();
    check(count >= 0 && 8L * count <= size - position());
    ByteBuffer list = ByteBuffer.wrap(readChecked(8 * count));
    voids = new long[count];
    for (int i = 0; i < count; i++) {
      voids[i] = list.getLong();
    }
    verifyChecksum();
  }

  /** The size of the file in bytes. */
  long size() {
    return size;
  }

  /**
   * Reads all records. The file as a whole is verified only once this method has returned.
   *
   * @param maxBytes values above this size are verified, but not passed to the visitor
   */
  void readRecords(int maxBytes, RecordVisitor visitor) throws IOException {
    int count = 0;
    while (true) {
      byte kind = readUnchecked(1)[0];
      if (kind == VersionWriter.END) {
        break;
      }
      long offset = position() - 1;
      check(kind == VersionWriter.VALUE || kind == VersionWriter.REMOVAL);
      recordCrc.update(kind);
      ByteBuffer header = ByteBuffer.wrap(readChecked(VersionWriter.RECORD_HEADER_BYTES - 1));
      long seq = header.getLong();
      int nameLength = header.getShort() & 0xFFFF;
      int length = header.getInt();
      check(length >= 0 && (long) nameLength + length <= size - position());
      String name = new String(readChecked(nameLength), StandardCharsets.UTF_8);
      byte[] bytes = null;
      if (length <= maxBytes) {
        bytes = readChecked(length);
      } else {
        skip(length);
      }
      verifyChecksum();
      count++;
      boolean isValue = kind == VersionWriter.VALUE;
      visitor.visit(
          name, seq, isValue, isValue ? bytes : null, offset, (int) (position() - offset));
    }
    ByteBuffer end = ByteBuffer.wrap(readUnchecked(VersionWriter.END_BYTES - 1));
    check(end.getInt() == count);
    fileCrc.update(VersionWriter.END);
    fileCrc.update(end.array(), 0, 4);
    check(end.getInt() == (int) fileCrc.getValue());
    check(position() == size);
  }

  /** Reads the value of one record, and verifies its checksum again. */
  static byte[] readRecord(
      FileSystem fileSystem, Path file, long offset, int length, String name, long seq)
      throws IOException {
    byte[] all = new byte[length];
    int readLength = fileSystem.read(file, offset, all, 0, length);
    ByteBuffer record = ByteBuffer.wrap(all);
    CRC32C crc = new CRC32C();
    crc.update(all, 0, Math.max(0, length - 4));
    byte[] nameUtf8 = VersionWriter.toUtf8(name);
    int bytesOffset = VersionWriter.RECORD_HEADER_BYTES + nameUtf8.length;
    if (readLength != length
        || record.getInt(length - 4) != (int) crc.getValue()
        || record.get(0) != VersionWriter.VALUE
        || record.getLong(1) != seq
        || record.getInt(11) != length - bytesOffset - 4) {
      throw new ElmsailException(
          ErrorCode.STORAGE_FAILURE,
          file.getFileName() + " is corrupt: record " + name + " at offset " + offset);
    }
    return Arrays.copyOfRange(all, bytesOffset, length - 4);
  }

  /** The offset in the file of the next byte to read. */
  private long position() {
    return chunkEnd - chunkLength + chunkPosition;
  }

  /** Rejects the file unless the condition holds. */
  private void check(boolean valid) {
    if (!valid) {
      throw new ElmsailException(
          ErrorCode.STORAGE_FAILURE, file.getFileName() + " is corrupt at offset " + position());
    }
  }

  /** Reads bytes that the checksum of a record doesn't cover. */
  private byte[] readUnchecked(int length) throws IOException {
    check(length <= size - position());
    byte[] bytes = new byte[length];
    int done = 0;
    while (done < length) {
      int part = fillChunk(length - done);
      System.arraycopy(chunk, chunkPosition, bytes, done, part);
      chunkPosition += part;
      done += part;
    }
    return bytes;
  }

  private byte[] readChecked(int length) throws IOException {
    byte[] bytes = readUnchecked(length);
    recordCrc.update(bytes, 0, length);
    return bytes;
  }

  private void skip(int length) throws IOException {
    int done = 0;
    while (done < length) {
      int part = fillChunk(length - done);
      recordCrc.update(chunk, chunkPosition, part);
      chunkPosition += part;
      done += part;
    }
  }

  /** Makes at least one byte available in the chunk; returns the number available, up to length. */
  private int fillChunk(int length) throws IOException {
    if (chunkPosition == chunkLength) {
      chunkLength = fileSystem.read(file, chunkEnd, chunk, 0, chunk.length);
      chunkPosition = 0;
      chunkEnd += chunkLength;
      check(chunkLength > 0);
    }
    return Math.min(length, chunkLength - chunkPosition);
  }

  /** Reads a checksum, and compares it with that of the bytes since the previous checksum. */
  private void verifyChecksum() throws IOException {
    int computed = (int) recordCrc.getValue();
    recordCrc.reset();
    byte[] stored = readUnchecked(4);
    check(ByteBuffer.wrap(stored).getInt() == computed);
    fileCrc.update(stored, 0, 4);
  }
}
