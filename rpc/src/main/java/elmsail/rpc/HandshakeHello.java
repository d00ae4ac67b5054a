package elmsail.rpc;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * The payload of the first frame of each direction. The client's names the process that it intends
 * to call; the server's names the process that it is. Both have the same fields.
 *
 * @param version of the protocol; only {@link #VERSION} is spoken
 * @param address "ip:port" of the called process
 * @param instanceId of the called process, drawn at each of its starts; {@link #ANY_INSTANCE} where
 *     the client accepts any
 */
record HandshakeHello(int version, String address, long instanceId) {

  static final int VERSION = 1;
  static final long ANY_INSTANCE = 0;

  private static final int FIXED_BYTES = 1 + Long.BYTES;
  private static final int MAX_ADDRESS_BYTES = 64;

  /** The version in a byte, the instance id, and the address in ASCII. */
  byte[] toPayload() {
    byte[] name = address.getBytes(StandardCharsets.US_ASCII);
    return ByteBuffer.allocate(FIXED_BYTES + name.length)
        .put((byte) version)
        .putLong(instanceId)
        .put(name)
        .array();
  }

  /**
   * Decodes a payload.
   *
   * @throws ElmsailException with UNSUPPORTED_VERSION if the first byte is another version,
   *     whatever follows it; MALFORMED if the rest cannot be decoded
   */
  static HandshakeHello fromPayload(byte[] payload) {
    if (payload.length == 0) {
      throw new ElmsailException(ErrorCode.MALFORMED, "hello without a payload");
    }
    if (payload[0] != VERSION) {
      throw new ElmsailException(
          ErrorCode.UNSUPPORTED_VERSION,
          "protocol version: expected " + VERSION + ", found " + payload[0]);
    }
    int addressBytes = payload.length - FIXED_BYTES;
    if (addressBytes < 1 || addressBytes > MAX_ADDRESS_BYTES) {
      throw new ElmsailException(
          ErrorCode.MALFORMED,
          "hello of " + payload.length + " bytes, with an address of " + addressBytes);
    }
    ByteBuffer fields = ByteBuffer.wrap(payload, 1, Long.BYTES);
    long instanceId = fields.getLong();
    String address = new String(payload, FIXED_BYTES, addressBytes, StandardCharsets.US_ASCII);
    return new HandshakeHello(VERSION, address, instanceId);
  }

  /** Whether a process that identifies itself so is the one that {@code intended} names. */
  boolean matches(HandshakeHello intended) {
    return address.equals(intended.address)
        && (intended.instanceId == ANY_INSTANCE || intended.instanceId == instanceId);
  }
}
