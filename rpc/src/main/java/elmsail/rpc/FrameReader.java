package elmsail.rpc;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import io.netty.buffer.ByteBuf;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/** Puts the frames of one connection together, from bytes as they come. */
final class FrameReader {

  private static final byte[] EMPTY = {};

  private final byte[] head = new byte[Frame.LENGTH_BYTES + Frame.HEAD_BYTES];
  private int headFilled;
  private byte[] payload;
  private int filled;

  /**
   * The next whole frame, or null if more bytes are needed; fails with GARBLED, and is of no use
   * then.
   */
  Frame next(ByteBuf in) {
    if (payload == null) {
      int part = Math.min(head.length - headFilled, in.readableBytes());
      in.readBytes(head, headFilled, part);
      headFilled += part;
      if (headFilled < head.length) {
        return null;
      }
      int length = ByteBuffer.wrap(head).getInt();
      int kind = head[Frame.LENGTH_BYTES];
      if (length < Frame.HEAD_BYTES
          || length > Frame.MOST_BYTES
          || kind < Frame.ASK
          || kind > Frame.HELLO) {
        throw new ElmsailException(
            ErrorCode.GARBLED, "frame of " + length + " bytes, kind " + kind);
      }
      payload = length == Frame.HEAD_BYTES ? EMPTY : new byte[length - Frame.HEAD_BYTES];
      filled = 0;
    }
    int part = Math.min(payload.length - filled, in.readableBytes());
    in.readBytes(payload, filled, part);
    filled += part;
    return filled < payload.length ? null : whole();
  }

  private Frame whole() {
    byte[] bytes = payload;
    payload = null;
    headFilled = 0;
    CRC32C check = new CRC32C();
    check.update(head, Frame.LENGTH_BYTES, Frame.CHECK_AT);
    check.update(bytes, 0, bytes.length);
    ByteBuffer fields = ByteBuffer.wrap(head);
    if (fields.getInt(Frame.LENGTH_BYTES + Frame.CHECK_AT) != (int) check.getValue()) {
      throw new ElmsailException(ErrorCode.GARBLED, "checksum");
    }
    return new Frame(
        head[Frame.LENGTH_BYTES],
        fields.getLong(Frame.LENGTH_BYTES + 1),
        fields.getShort(Frame.LENGTH_BYTES + 9),
        bytes);
  }
}
