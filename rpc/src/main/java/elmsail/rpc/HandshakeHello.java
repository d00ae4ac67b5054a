package elmsail.rpc;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * The first frame of each direction of a connection. The caller's says which process it means to
 * call; the other side's says which process it is. Both use the same three fields.
 *
 * @param version of the protocol; {@link #VERSION} is the only one that is spoken
 * @param address "ip:port" of the called process
 * @param instanceId of the called process, drawn at each of its starts; {@link #ANY_INSTANCE} where
 *     the caller does not mind which one answers
 */
record HandshakeHello(int version, String address, long instanceId) {

  static final int VERSION = 1;
  static final long ANY_INSTANCE = 0;

  private static final int FIXED_BYTES = 1 + Long.BYTES;
  private static final int MAX_ADDRESS_BYTES = 64;

  /** The frame's payload: the version's byte, the instance id, and the address in ASCII. */
  byte[] toPayload() {
    byte[] name = address.getBytes(StandardCharsets.US_ASCII);
    return ByteBuffer.allocate(FIXED_BYTES + name.length)
        .put((byte) version)
        .putLong(instanceId)
        .put(name)
        .array();
  }

  /**
   * Reads a payload.
   *
   * @throws ElmsailException with UNSUPPORTED_VERSION where the first byte is another version's,
   *     whatever follows it; GARBLED where the rest is not a hello
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

  /** Whether a process that says this of itself is the one that {@code meant} names. */
  boolean matches(HandshakeHello intended) {
    return address.equals(intended.address)
        && (intended.instanceId == ANY_INSTANCE || intended.instanceId == instanceId);
  }
}
