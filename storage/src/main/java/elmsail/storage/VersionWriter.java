package elmsail.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * Writes one file of a version: a head (magic, format, version, life, the next sequence number,
 * versions that are void), the records, each with a checksum of its own, and an end with their
 * number and a checksum over all checksums, which so covers every byte.
 */
final class VersionWriter {
  static final int MAGIC = 0x656C6D73;
  static final int FORMAT = 1;
  static final byte END = 0;
  static final byte VALUE = 1;
  static final byte REMOVAL = 2;

  /** Magic, format, version, life, next sequence number, number of void versions. */
  static final int HEADER_BYTES = 4 + 4 + 8 + 8 + 8 + 4;

  /** Kind, sequence number, length of the name, length of the bytes. */
  static final int RECORD_HEADER_BYTES = 1 + 8 + 2 + 4;

  static final int END_BYTES = 1 + 4 + 4;
  static final int CHUNK_BYTES = 64 * 1024;

  private final FileSystem.Appender out;
  private final ByteBuffer chunk;
  private final CRC32C recordCrc = new CRC32C();
  private final CRC32C fileCrc = new CRC32C();
  private long appended;
  private int records;

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
    for (long v : voids) {
      header.putLong(v);
    }
    putChecked(header.array());
    putChecksum();
  }

  /** Bytes that a record takes in a file. */
  static int recordBytes(byte[] name, byte[] bytes) {
    return RECORD_HEADER_BYTES + name.length + (bytes == null ? 0 : bytes.length) + 4;
  }

  static byte[] toUtf8(String name) {
    return name.getBytes(StandardCharsets.UTF_8);
  }

  /** Returns where the record begins. */
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

  /** Writes the end and syncs; returns the file's length. */
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
