package elmsail.storage;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.zip.CRC32C;

/**
 * Reads one file of a version in steps of 64 kB and tells whether every byte is as it was written.
 */
final class VersionReader {
  private static final int CHUNK_BYTES = 64 * 1024;

  private final Files files;
  private final Path file;
  private final long size;
  private final byte[] chunk;
  private final CRC32C crc = new CRC32C();
  private final CRC32C overAll = new CRC32C();
  private long read;
  private int filled;
  private int taken;

  final long version;
  final long instanceId;
  final long nextSeq;
  final long[] voids;

  /**
   * Takes each record of the file; {@code bytes} is null for a removal and for a value over {@code
   * most}.
   */
  interface Taker {
    void take(String name, long seq, boolean value, byte[] bytes, long at, int length);
  }

  VersionReader(Files files, Path file) throws IOException {
    this.files = files;
    this.file = file;
    size = files.size(file);
    chunk = new byte[(int) Math.min(CHUNK_BYTES, Math.max(size, 1))];
    ByteBuffer head = ByteBuffer.wrap(checked(VersionWriter.HEAD_BYTES));
    check(head.getInt() == VersionWriter.MAGIC && head.getInt() == VersionWriter.FORMAT);
    version = head.getLong();
    instanceId = head.getLong();
    nextSeq = head.getLong();
    int count = head.getInt();
    check(count >= 0 && 8L * count <= size - position());
    ByteBuffer list = ByteBuffer.wrap(checked(8 * count));
    voids = new long[count];
    for (int i = 0; i < count; i++) {
      voids[i] = list.getLong();
    }
    sum();
  }

  long size() {
    return size;
  }

  /** Everything is checked only when this has returned. */
  void records(int most, Taker taker) throws IOException {
    int count = 0;
    while (true) {
      byte kind = plain(1)[0];
      if (kind == VersionWriter.END) {
        break;
      }
      long at = position() - 1;
      check(kind == VersionWriter.VALUE || kind == VersionWriter.REMOVAL);
      crc.update(kind);
      ByteBuffer head = ByteBuffer.wrap(checked(VersionWriter.RECORD_HEAD_BYTES - 1));
      long seq = head.getLong();
      int named = head.getShort() & 0xFFFF;
      int length = head.getInt();
      check(length >= 0 && (long) named + length <= size - position());
      String name = new String(checked(named), StandardCharsets.UTF_8);
      byte[] bytes = null;
      if (length <= most) {
        bytes = checked(length);
      } else {
        skip(length);
      }
      sum();
      count++;
      boolean value = kind == VersionWriter.VALUE;
      taker.take(name, seq, value, value ? bytes : null, at, (int) (position() - at));
    }
    ByteBuffer end = ByteBuffer.wrap(plain(VersionWriter.END_BYTES - 1));
    check(end.getInt() == count);
    overAll.update(VersionWriter.END);
    overAll.update(end.array(), 0, 4);
    check(end.getInt() == (int) overAll.getValue());
    check(position() == size);
  }

  /** One record by its place, checked again. */
  static byte[] one(Files files, Path file, long at, int length, String name, long seq)
      throws IOException {
    byte[] all = new byte[length];
    int got = files.read(file, at, all, 0, length);
    ByteBuffer record = ByteBuffer.wrap(all);
    CRC32C crc = new CRC32C();
    crc.update(all, 0, Math.max(0, length - 4));
    byte[] utf = VersionWriter.utf(name);
    int before = VersionWriter.RECORD_HEAD_BYTES + utf.length;
    if (got != length
        || record.getInt(length - 4) != (int) crc.getValue()
        || record.get(0) != VersionWriter.VALUE
        || record.getLong(1) != seq
        || record.getInt(11) != length - before - 4) {
      throw new ElmsailException(
          ErrorCode.STORAGE_FAILURE, "a record of " + file.getFileName() + " is spoiled");
    }
    return java.util.Arrays.copyOfRange(all, before, length - 4);
  }

  private long position() {
    return read - filled + taken;
  }

  private void check(boolean holds) {
    if (!holds) {
      throw new ElmsailException(
          ErrorCode.STORAGE_FAILURE, file.getFileName() + " is torn or not one of ours");
    }
  }

  private byte[] plain(int length) throws IOException {
    check(length <= size - position());
    byte[] bytes = new byte[length];
    int done = 0;
    while (done < length) {
      int part = some(length - done);
      System.arraycopy(chunk, taken, bytes, done, part);
      taken += part;
      done += part;
    }
    return bytes;
  }

  private byte[] checked(int length) throws IOException {
    byte[] bytes = plain(length);
    crc.update(bytes, 0, length);
    return bytes;
  }

  private void skip(int length) throws IOException {
    int done = 0;
    while (done < length) {
      int part = some(length - done);
      crc.update(chunk, taken, part);
      taken += part;
      done += part;
    }
  }

  private int some(int wanted) throws IOException {
    if (taken == filled) {
      filled = files.read(file, read, chunk, 0, chunk.length);
      taken = 0;
      read += filled;
      check(filled > 0);
    }
    return Math.min(wanted, filled - taken);
  }

  private void sum() throws IOException {
    int is = (int) crc.getValue();
    crc.reset();
    byte[] response = plain(4);
    check(ByteBuffer.wrap(response).getInt() == is);
    overAll.update(response, 0, 4);
  }
}
