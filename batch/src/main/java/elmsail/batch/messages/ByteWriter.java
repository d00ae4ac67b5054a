package elmsail.batch.messages;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Writes numbers (seven bits a byte, the lowest first), texts and bytes, each with its length
 * before it.
 */
public final class ByteWriter {
  private byte[] bytes = new byte[256];
  private int size;

  /** A number that is not negative is short; others take ten bytes. */
  public ByteWriter number(long value) {
    room(10);
    long left = value;
    while ((left & ~0x7FL) != 0) {
      bytes[size++] = (byte) (left & 0x7F | 0x80);
      left >>>= 7;
    }
    bytes[size++] = (byte) left;
    return this;
  }

  /** A number: 1 for true, 0 for false. */
  public ByteWriter flag(boolean value) {
    return number(value ? 1 : 0);
  }

  /** The length in bytes and the text in UTF-8. */
  public ByteWriter text(String value) {
    return bytes(value.getBytes(StandardCharsets.UTF_8));
  }

  /** The length and the bytes. */
  public ByteWriter bytes(byte[] value) {
    number(value.length);
    room(value.length);
    System.arraycopy(value, 0, bytes, size, value.length);
    size += value.length;
    return this;
  }

  /** All that was written so far, in an array of its own. */
  public byte[] packed() {
    return Arrays.copyOf(bytes, size);
  }

  private void room(int more) {
    if (size + more > bytes.length) {
      bytes = Arrays.copyOf(bytes, Math.max(bytes.length * 2, size + more));
    }
  }
}
