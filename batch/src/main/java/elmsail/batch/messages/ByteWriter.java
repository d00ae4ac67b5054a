package elmsail.batch.messages;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Writes numbers as varints (LEB128: seven bits per byte, lowest bits first), and strings and byte
 * arrays prefixed with their length in bytes. {@link ByteReader} reads this encoding. Not
 * thread-safe.
 */
public final class ByteWriter {
  private static final int MAX_VARINT_BYTES = 10;

  private byte[] buffer = new byte[256];
  private int size;

  /** Writes a number in one to ten bytes. A negative number takes ten bytes. */
  public ByteWriter writeVarint(long value) {
    ensureCapacity(MAX_VARINT_BYTES);
    long remaining = value;
    while ((remaining & ~0x7FL) != 0) {
      buffer[size++] = (byte) (remaining & 0x7F | 0x80);
      remaining >>>= 7;
    }
    buffer[size++] = (byte) remaining;
    return this;
  }

  /** Writes the number 1 for true, 0 for false. */
  public ByteWriter writeBoolean(boolean value) {
    return writeVarint(value ? 1 : 0);
  }

  /** Writes the length in bytes and the string in UTF-8. */
  public ByteWriter writeString(String value) {
    return writeBytes(value.getBytes(StandardCharsets.UTF_8));
  }

  /** Writes the length and the bytes. */
  public ByteWriter writeBytes(byte[] value) {
    writeVarint(value.length);
    ensureCapacity(value.length);
    System.arraycopy(value, 0, buffer, size, value.length);
    size += value.length;
    return this;
  }

  /** A copy of the bytes written so far. */
  public byte[] toByteArray() {
    return Arrays.copyOf(buffer, size);
  }

  private void ensureCapacity(int additional) {
    if (size + additional > buffer.length) {
      buffer = Arrays.copyOf(buffer, Math.max(buffer.length * 2, size + additional));
    }
  }
}
