package elmsail.batch.messages;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Writes numbers (seven bits a byte, the lowest first), texts and bytes, each with its length
 * before it.
 */
public final class ByteWriter {
  private byte[] buffer = new byte[256];
  private int size;

  /** A number that is not negative is short; others take ten bytes. */
  public ByteWriter writeVarint(long value) {
    ensureCapacity(10);
    long left = value;
    while ((left & ~0x7FL) != 0) {
      buffer[size++] = (byte) (left & 0x7F | 0x80);
      left >>>= 7;
    }
    buffer[size++] = (byte) left;
    return this;
  }

  /** A number: 1 for true, 0 for false. */
  public ByteWriter writeBoolean(boolean value) {
    return writeVarint(value ? 1 : 0);
  }

  /** The length in bytes and the text in UTF-8. */
  public ByteWriter writeString(String value) {
    return writeBytes(value.getBytes(StandardCharsets.UTF_8));
  }

  /** The length and the bytes. */
  public ByteWriter writeBytes(byte[] value) {
    writeVarint(value.length);
    ensureCapacity(value.length);
    System.arraycopy(value, 0, buffer, size, value.length);
    size += value.length;
    return this;
  }

  /** All that was written so far, in an array of its own. */
  public byte[] toByteArray() {
    return Arrays.copyOf(buffer, size);
  }

  private void ensureCapacity(int more) {
    if (size + more > buffer.length) {
      buffer = Arrays.copyOf(buffer, Math.max(buffer.length * 2, size + more));
    }
  }
}
