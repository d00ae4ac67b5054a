package elmsail.rpc;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * What goes over a connection: int length of the rest, byte kind, long call, short type, int CRC32C
 * of kind, call, type and payload, and the payload.
 *
 * @param call the number of the call, of its asker's choosing; 0 for pings and hellos
 * @param type of {@link MessageTypes}
 */
record Frame(int kind, long call, int type, byte[] payload) {

  static final int ASK = 1;
  static final int ANSWER = 2;

  /** The payload is the code's name. */
  static final int FAILURE = 3;

  static final int PING = 4;
  static final int PONG = 5;

  /** The first frame of each direction; the payload is a {@link Hello}. */
  static final int HELLO = 6;

  static final int LENGTH_BYTES = 4;

  /** Behind the length, before the payload. */
  static final int HEAD_BYTES = 1 + 8 + 2 + 4;

  /** Where the check begins in the head. */
  static final int CHECK_AT = HEAD_BYTES - 4;

  /** The longest frame, without its length's own bytes. */
  static final int MOST_BYTES = 16 << 20;

  private static final int FIRST_BYTES = 256;

  /** Fails with FULL if the message is too long, and FAULT if it is none. */
  static ByteBuf message(Codec codec, int kind, long call, Object message) {
    int type = codec.number(message);
    ByteBuf out = ByteBufAllocator.DEFAULT.ioBuffer(FIRST_BYTES);
    boolean whole = false;
    try {
      head(out, kind, call, type);
      codec.write(type, message, new ByteBufOutputStream(out));
      finish(out);
      whole = true;
    } finally {
      if (!whole) {
        out.release();
      }
    }
    return out;
  }

  static ByteBuf failure(long call, ErrorCode code) {
    ByteBuf out = ByteBufAllocator.DEFAULT.ioBuffer(FIRST_BYTES);
    head(out, FAILURE, call, MessageTypes.NONE);
    out.writeBytes(code.wireName().getBytes(StandardCharsets.US_ASCII));
    finish(out);
    return out;
  }

  static ByteBuf hello(Hello hello) {
    ByteBuf out = ByteBufAllocator.DEFAULT.ioBuffer(FIRST_BYTES);
    head(out, HELLO, 0, MessageTypes.NONE);
    out.writeBytes(hello.payload());
    finish(out);
    return out;
  }

  static ByteBuf bare(int kind, long call) {
    ByteBuf out = ByteBufAllocator.DEFAULT.ioBuffer(LENGTH_BYTES + HEAD_BYTES);
    head(out, kind, call, MessageTypes.NONE);
    finish(out);
    return out;
  }

  /** The code of a FAILURE; a name that is not known here is a FAULT. */
  ErrorCode code() {
    String name = new String(payload, StandardCharsets.US_ASCII);
    for (ErrorCode code : ErrorCode.values()) {
      if (code.wireName().equals(name)) {
        return code;
      }
    }
    return ErrorCode.FAULT;
  }

  private static void head(ByteBuf out, int kind, long call, int type) {
    out.writeInt(0).writeByte(kind).writeLong(call).writeShort(type).writeInt(0);
  }

  private static void finish(ByteBuf out) {
    int length = out.readableBytes() - LENGTH_BYTES;
    if (length > MOST_BYTES) {
      throw new ElmsailException(ErrorCode.FULL, "message of " + length + " bytes");
    }
    out.setInt(0, length);
    CRC32C check = new CRC32C();
    check.update(out.nioBuffer(LENGTH_BYTES, CHECK_AT));
    check.update(out.nioBuffer(LENGTH_BYTES + HEAD_BYTES, length - HEAD_BYTES));
    out.setInt(LENGTH_BYTES + CHECK_AT, (int) check.getValue());
  }
}
