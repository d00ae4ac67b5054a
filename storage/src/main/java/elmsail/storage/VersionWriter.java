package elmsail.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * Writes a version file. Its format, all numbers big-endian:
 *
 * <ul>
 *   <li>a header: magic, format, version, instance id, next sequence number, the number of void
 *       versions, the void versions, a checksum (CRC-32C);
 *   <li>the records: kind, sequence number, length of the name, length of the value, the name in
 *       UTF-8, the value, a checksum of the record;
 *   <li>an end: its kind, the number of records, a checksum of all checksums, which so protects
 *       every byte of the file.
 * </ul>
 */
final class VersionWriter {
  static final int MAGIC = 0x656C6D73;
  static final int FORMAT = 1;
  static final byte END = 0;
  static final byte VALUE = 1;
  static final byte REMOVAL = 2;

  /** Magic, format, version, instance id, next sequence number, number of void versions. */
  static final int HEADER_BYTES = 4 + 4 + 8 + 8 + 8 + 4;

  /** Kind, sequence number, length of the name, length of the value. */
  static final int RECORD_HEADER_BYTES = 1 + 8 + 2 + 4;

  static final int END_BYTES = 1 + 4 + 4;
  static final int CHUNK_BYTES = 64 * 1024;

  private final FileSystem.Appender out;
  private final ByteBuffer chunk;
  private final CRC32C recordCrc = new CRC32C();
  private final CRC32C fileCrc = new CRC32C();
  private long appended;
  private int records;

  /**
   * Writes the header.
   *
   * @param chunk collects small writes; its content is discarded
   */
  VersionWriter(
      FileSystem.Appender out,
      ByteBuffer chunk,
      long version,
      long instanceId,
      long nextSeq,
      long[] voids)
      throws IOException {
    this.out = out;
    this.chunk = chunk.clear();
    ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES + 8 * voids.length);
    header
        .putInt(MAGIC)
        .putInt(FORMAT)
        .putLong(version)
        .putLong(instanceId)
        .putLong(nextSeq)
        .putInt(voids.length);
    for (long voidVersion : voids) {
      header.putLong(voidVersion);
    }
    putChecked(header.array());
    putChecksum();
  }

  /** The size of a record in a file, in bytes. */
  static int recordBytes(byte[] name, byte[] bytes) {
    return RECORD_HEADER_BYTES + name.length + (bytes == null ? 0 : bytes.length) + 4;
  }

  static byte[] toUtf8(String name) {
    return name.getBytes(StandardCharsets.UTF_8);
  }

  /** Writes a record; returns its offset in the file. */
  long writeRecord(byte[] name, long seq, byte[] bytes) throws IOException {
    long offset = appended + chunk.position();
    ByteBuffer header = ByteBuffer.allocate(RECORD_HEADER_BYTES);
    header
        .put(bytes == null ? REMOVAL : VALUE)
        .putLong(seq)
        .putShort((short) name.length)
        .putInt(bytes == null ? 0 : bytes.length);
    putChecked(header.array());
    putChecked(name);
    if (bytes != null) {
      putChecked(bytes);
    }
    putChecksum();
    records++;
    return offset;
  }

  /** Writes the end, and syncs the file; returns its size in bytes. */
  long finish() throws IOException {
    ByteBuffer end = ByteBuffer.allocate(END_BYTES);
    end.put(END).putInt(records);
    fileCrc.update(end.array(), 0, 5);
    end.putInt((int) fileCrc.getValue());
    put(end.array());
    flush();
    out.sync();
    return appended;
  }

  private void putChecked(byte[] bytes) throws IOException {
    recordCrc.update(bytes, 0, bytes.length);
    put(bytes);
  }

  private void putChecksum() throws IOException {
    byte[] sum = ByteBuffer.allocate(4).putInt((int) recordCrc.getValue()).array();
    recordCrc.reset();
    fileCrc.update(sum, 0, 4);
    put(sum);
  }

  private void put(byte[] bytes) throws IOException {
    if (bytes.length > chunk.remaining()) {
      flush();
    }
    if (bytes.length > CHUNK_BYTES) {
      out.append(bytes, 0, bytes.length);
      appended += bytes.length;
    } else {
      chunk.put(bytes);
    }
  }

  private void flush() throws IOException {
    if (chunk.position() > 0) {
      out.append(chunk.array(), 0, chunk.position());
      appended += chunk.position();
      chunk.clear();
    }
  }
}
