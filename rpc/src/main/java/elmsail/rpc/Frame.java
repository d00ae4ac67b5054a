package elmsail.rpc;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * The unit that is sent over a connection. On the wire: int length of what follows, byte kind, long
 * call id, short message type, int CRC32C of kind, call id, type and payload, then the payload.
 *
 * @param kind one of the constants below
 * @param callId chosen by the caller; 0 for pings and hellos
 * @param type of {@link MessageTypes}; 0 where the payload is no message
 */
record Frame(int kind, long callId, int type, byte[] payload) {

  static final int REQUEST = 1;
  static final int RESPONSE = 2;

  /** The payload is {@link ErrorCode#wireName()} in ASCII. */
  static final int FAILURE = 3;

  static final int PING = 4;
  static final int PONG = 5;

  /** The first frame of each direction; the payload is a {@link HandshakeHello}. */
  static final int HELLO = 6;

  static final int LENGTH_BYTES = 4;

  /** The header between the length and the payload. */
  static final int HEADER_BYTES = 1 + 8 + 2 + 4;

  /** Offsets in the header. */
  static final int CALL_ID_OFFSET = 1;

  static final int TYPE_OFFSET = CALL_ID_OFFSET + 8;

  /** Where the checksum stands in the header. */
  static final int CHECKSUM_OFFSET = HEADER_BYTES - 4;

  /** The longest frame, not counting the length field itself. */
  static final int MAX_BYTES = 16 << 20;

  private static final int INITIAL_CAPACITY_BYTES = 256;

  /**
   * Encodes a message into a frame, which the caller owns.
   *
   * @throws ElmsailException with RESOURCE_EXHAUSTED if it is too long, INTERNAL if the object is
   *     no message
   */
  static ByteBuf message(MessageCodec codec, int kind, long callId, Object message) {
    int type = codec.typeNumber(message);
    ByteBuf out = ByteBufAllocator.DEFAULT.ioBuffer(INITIAL_CAPACITY_BYTES);
    boolean complete = false;
    try {
      writeHeader(out, kind, callId, type);
      codec.write(type, message, new ByteBufOutputStream(out));
      writeLengthAndChecksum(out);
      complete = true;
    } finally {
      if (!complete) {
        out.release();
      }
    }
    return out;
  }

  /** The response to a call that failed. */
  static ByteBuf failure(long callId, ErrorCode code) {
    ByteBuf out = ByteBufAllocator.DEFAULT.ioBuffer(INITIAL_CAPACITY_BYTES);
    writeHeader(out, FAILURE, callId, MessageTypes.NONE);
    out.writeBytes(code.wireName().getBytes(StandardCharsets.US_ASCII));
    writeLengthAndChecksum(out);
    return out;
  }

  /** The first frame of a direction. */
  static ByteBuf hello(HandshakeHello hello) {
    ByteBuf out = ByteBufAllocator.DEFAULT.ioBuffer(INITIAL_CAPACITY_BYTES);
    writeHeader(out, HELLO, 0, MessageTypes.NONE);
    out.writeBytes(hello.toPayload());
    writeLengthAndChecksum(out);
    return out;
  }

  /** A ping or pong. */
  static ByteBuf withoutPayload(int kind, long callId) {
    ByteBuf out = ByteBufAllocator.DEFAULT.ioBuffer(LENGTH_BYTES + HEADER_BYTES);
    writeHeader(out, kind, callId, MessageTypes.NONE);
    writeLengthAndChecksum(out);
    return out;
  }

  /** The code that a FAILURE carries; {@code INTERNAL} where this version does not know it. */
  ErrorCode errorCode() {
    String wireName = new String(payload, StandardCharsets.US_ASCII);
    return ErrorCode.fromWireName(wireName).orElse(ErrorCode.INTERNAL);
  }

  private static void writeHeader(ByteBuf out, int kind, long callId, int type) {
    out.writeInt(0).writeByte(kind).writeLong(callId).writeShort(type).writeInt(0);
  }

  private static void writeLengthAndChecksum(ByteBuf out) {
    int length = out.readableBytes() - LENGTH_BYTES;
    if (length > MAX_BYTES) {
      throw new ElmsailException(ErrorCode.RESOURCE_EXHAUSTED, "message of " + length + " bytes");
    }
    out.setInt(0, length);
    CRC32C check = new CRC32C();
    check.update(out.nioBuffer(LENGTH_BYTES, CHECKSUM_OFFSET));
    check.update(out.nioBuffer(LENGTH_BYTES + HEADER_BYTES, length - HEADER_BYTES));
    out.setInt(LENGTH_BYTES + CHECKSUM_OFFSET, (int) check.getValue());
  }
}
