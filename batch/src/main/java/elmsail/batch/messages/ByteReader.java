package elmsail.batch.messages;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Reads what a {@code ByteWriter} wrote; anything else fails with GARBLED. */
public final class ByteReader {
  private final byte[] bytes;
  private int at;

  /** Reads from the beginning of these bytes, which are not copied. */
  public ByteReader(byte[] bytes) {
    this.bytes = bytes;
  }

  /** The next number; GARBLED where it takes over ten bytes. */
  public long number() {
    long value = 0;
    for (int shift = 0; shift < 64; shift += 7) {
      byte one = bytes[need(1)];
      value |= (long) (one & 0x7F) << shift;
      if (one >= 0) {
        return value;
      }
    }
    throw new ElmsailException(ErrorCode.MALFORMED, "a number without an end");
  }

  /** A number of things still to come, each of a byte at least. */
  public int count() {
    long value = number();
    if (value < 0 || value > bytes.length - at) {
      throw new ElmsailException(ErrorCode.MALFORMED, "a count beyond the bytes");
    }
    return (int) value;
  }

  /** The next number as a flag: 0 is false. */
  public boolean flag() {
    return number() != 0;
  }

  /** The next text. */
  public String text() {
    int length = count();
    return new String(bytes, need(length), length, StandardCharsets.UTF_8);
  }

  /** The next bytes, in an array of their own. */
  public byte[] bytes() {
    int length = count();
    int from = need(length);
    return Arrays.copyOfRange(bytes, from, from + length);
  }

  /** Whether bytes are left. */
  public boolean more() {
    return at < bytes.length;
  }

  private int need(int length) {
    if (bytes.length - at < length) {
      throw new ElmsailException(ErrorCode.MALFORMED, "cut off at " + bytes.length);
    }
    int from = at;
    at += length;
    return from;
  }
}
