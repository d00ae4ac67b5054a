package elmsail.batch.messages;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Reads what a {@code ByteWriter} wrote; anything else fails with GARBLED. */
public final class ByteReader {
  private final byte[] buffer;
  private int position;

  /** Reads from the beginning of these bytes, which are not copied. */
  public ByteReader(byte[] buffer) {
    this.buffer = buffer;
  }

  /** The next number; GARBLED where it takes over ten bytes. */
  public long readVarint() {
    long value = 0;
    for (int shift = 0; shift < 64; shift += 7) {
      byte one = buffer[advance(1)];
      value |= (long) (one & 0x7F) << shift;
      if (one >= 0) {
        return value;
      }
    }
    throw new ElmsailException(ErrorCode.MALFORMED, "a number without an end");
  }

  /** A number of things still to come, each of a byte at least. */
  public int readCount() {
    long value = readVarint();
    if (value < 0 || value > buffer.length - position) {
      throw new ElmsailException(ErrorCode.MALFORMED, "a count beyond the bytes");
    }
    return (int) value;
  }

  /** The next number as a flag: 0 is false. */
  public boolean readBoolean() {
    return readVarint() != 0;
  }

  /** The next text. */
  public String readString() {
    int length = readCount();
    return new String(buffer, advance(length), length, StandardCharsets.UTF_8);
  }

  /** The next bytes, in an array of their own. */
  public byte[] readBytes() {
    int length = readCount();
    int from = advance(length);
    return Arrays.copyOfRange(buffer, from, from + length);
  }

  /** Whether bytes are left. */
  public boolean hasRemaining() {
    return position < buffer.length;
  }

  private int advance(int length) {
    if (buffer.length - position < length) {
      throw new ElmsailException(ErrorCode.MALFORMED, "cut off at " + buffer.length);
    }
    int from = position;
    position += length;
    return from;
  }
}
