package elmsail.batch.messages;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads the encoding that {@link ByteWriter} writes. Each method throws an {@link ElmsailException}
 * with {@link ErrorCode#MALFORMED} if the bytes at the current position do not encode the requested
 * value. Not thread-safe.
 */
public final class ByteReader {
  private final byte[] buffer;
  private int position;

  /** Creates a reader at the beginning of these bytes, which are not copied. */
  public ByteReader(byte[] buffer) {
    this.buffer = buffer;
  }

  /** Reads the next number, which takes at most ten bytes. */
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

  /** Reads the number of the elements that follow, each of which takes at least one byte. */
  public int readCount() {
    long value = readVarint();
    if (value < 0 || value > buffer.length - position) {
      throw new ElmsailException(
          ErrorCode.MALFORMED,
          "count " + value + " exceeds the " + (buffer.length - position) + " bytes that remain");
    }
    return (int) value;
  }

  /** Reads the next number as a boolean: 0 is false, all other numbers are true. */
  public boolean readBoolean() {
    return readVarint() != 0;
  }

  /** Reads the next string. */
  public String readString() {
    int length = readCount();
    return new String(buffer, advance(length), length, StandardCharsets.UTF_8);
  }

  /** Reads the next byte array and returns a copy. */
  public byte[] readBytes() {
    int length = readCount();
    int from = advance(length);
    return Arrays.copyOfRange(buffer, from, from + length);
  }

  /** Whether unread bytes remain. */
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
