package elmsail.controlplane;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/** Encodes and decodes values of the register and of peer messages, field by field. */
final class ValueCodec {
  /** Writes one value. */
  @FunctionalInterface
  interface Encoder {
    void encode(DataOutputStream out) throws IOException;
  }

  /** Reads one value. */
  @FunctionalInterface
  interface Decoder<T> {
    T decode(DataInputStream in) throws IOException;
  }

  private static final int INITIAL_BYTES = 32;

  private ValueCodec() {}

  /**
   * Returns the bytes that the encoder writes.
   *
   * @param valueName names the value in errors
   * @throws ElmsailException INTERNAL if the value cannot be encoded, for example because a string
   *     is too long
   */
  static byte[] encode(String valueName, Encoder encoder) {
    return encode(valueName, INITIAL_BYTES, encoder);
  }

  /**
   * Returns the bytes that the encoder writes; the buffer initially holds the expected number of
   * bytes.
   */
  static byte[] encode(String valueName, int expectedBytes, Encoder encoder) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(expectedBytes);
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      encoder.encode(out);
    } catch (IOException e) {
      throw new ElmsailException(ErrorCode.INTERNAL, valueName + " cannot be encoded", e);
    }
    return bytes.toByteArray();
  }

  /**
   * Returns the value that the decoder reads; remaining bytes are ignored.
   *
   * @param valueName names the value in errors
   * @throws ElmsailException MALFORMED if the bytes end too early or do not hold such a value
   */
  static <T> T decode(String valueName, byte[] bytes, Decoder<T> decoder) {
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
      return decoder.decode(in);
    } catch (IOException e) {
      throw new ElmsailException(
          ErrorCode.MALFORMED, valueName + " of " + bytes.length + " bytes cannot be decoded", e);
    }
  }

  /**
   * Reads the number of entries that follow.
   *
   * @throws ElmsailException MALFORMED if it is negative or above the maximum
   */
  static int readCount(DataInputStream in, String valueName, int max) throws IOException {
    int count = in.readInt();
    if (count < 0 || count > max) {
      throw new ElmsailException(
          ErrorCode.MALFORMED, valueName + ": count " + count + ", expected 0 to " + max);
    }
    return count;
  }
}
