package elmsail.rpc;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * The first frame of each direction of a connection. The client's names the process that it intends
 * to call, the server's names itself. Both have the same fields.
 *
 * @param version of the protocol; {@link #VERSION} is the only one supported
 * @param address "ip:port" of the called process
 * @param instanceId of the called process, drawn at random at each start; {@link #ANY_INSTANCE} if
 *     the client accepts any
 */
record HandshakeHello(int version, String address, long instanceId) {

  static final int VERSION = 1;
  static final long ANY_INSTANCE = 0;

  private static final int FIXED_BYTES = 1 + Long.BYTES;
  private static final int MAX_ADDRESS_BYTES = 64;

  /** The payload: one byte of version, the instance id, the address in ASCII. */
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
   * @throws ElmsailException {@code UNSUPPORTED_VERSION} if the first byte is another version,
   *     whatever follows; {@code MALFORMED} if the rest is invalid
   */
  static HandshakeHello fromPayload(byte[] payload) {
    if (payload.length == 0) {
      throw new ElmsailException(ErrorCode.MALFORMED, "empty hello");
    }
    if (payload[0] != VERSION) {
      throw new ElmsailException(ErrorCode.UNSUPPORTED_VERSION, "protocol version " + payload[0]);
    }
    int addressBytes = payload.length - FIXED_BYTES;
    if (addressBytes < 1 || addressBytes > MAX_ADDRESS_BYTES) {
      throw new ElmsailException(ErrorCode.MALFORMED, "hello of " + payload.length + " bytes");
    }
    ByteBuffer fields = ByteBuffer.wrap(payload, 1, Long.BYTES);
    long instanceId = fields.getLong();
    String address = new String(payload, FIXED_BYTES, addressBytes, StandardCharsets.US_ASCII);
    return new HandshakeHello(VERSION, address, instanceId);
  }

  /** Whether this process is the {@code intended} one. */
  boolean matches(HandshakeHello intended) {
    return address.equals(intended.address)
        && (intended.instanceId == ANY_INSTANCE || intended.instanceId == instanceId);
  }
}
