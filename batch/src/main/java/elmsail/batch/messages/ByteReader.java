package elmsail.batch.messages;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads the encoding that {@link ByteWriter} writes. Each method throws an {@link ElmsailException}
 * with {@link ErrorCode#MALFORMED} where the bytes do not hold what is read. Not thread-safe.
 */
public final class ByteReader {
  private final byte[] buffer;
  private int position;

  /** A reader at the beginning of these bytes, which are not copied. */
  public ByteReader(byte[] buffer) {
    this.buffer = buffer;
  }

  /** The next number; it takes ten bytes at most. */
  public long readVarint() {
    long value = 0;
    for (int shift = 0; shift < 64; shift += 7) {
      byte next = buffer[advance(1)];
      value |= (long) (next & 0x7F) << shift;
      if (next >= 0) {
        return value;
      }
    }
    throw new ElmsailException(
        ErrorCode.MALFORMED, "varint longer than ten bytes before offset " + position);
  }

  /** The next number as a count of elements that follow, of a byte each at least. */
  public int readCount() {
    long value = readVarint();
    if (value < 0 || value > buffer.length - position) {
      throw new ElmsailException(
          ErrorCode.MALFORMED,
          "count " + value + " exceeds the " + (buffer.length - position) + " bytes that remain");
    }
    return (int) value;
  }

  /** The next number as a boolean: 0 is false, all others are true. */
  public boolean readBoolean() {
    return readVarint() != 0;
  }

  /** The next string. */
  public String readString() {
    int length = readCount();
    return new String(buffer, advance(length), length, StandardCharsets.UTF_8);
  }

  /** The next byte array; a copy. */
  public byte[] readBytes() {
    int length = readCount();
    int from = advance(length);
    return Arrays.copyOfRange(buffer, from, from + length);
  }

  /** Whether there are bytes that have not been read. */
  public boolean hasRemaining() {
    return position < buffer.length;
  }

  private int advance(int length) {
    if (buffer.length - position < length) {
      throw new ElmsailException(
          ErrorCode.MALFORMED,
          "expected "
              + length
              + " bytes at offset "
              + position
              + ", found "
              + (buffer.length - position));
    }
    int from = position;
    position += length;
    return from;
  }
}
