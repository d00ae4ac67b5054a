package elmsail.rpc;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import io.netty.buffer.ByteBuf;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/** Reassembles the frames of one connection from received bytes. */
final class FrameDecoder {

  private static final byte[] EMPTY_PAYLOAD = {};

  private final byte[] header = new byte[Frame.LENGTH_BYTES + Frame.HEADER_BYTES];
  private int headerBytes;
  private byte[] payload;
  private int payloadBytes;

  /**
   * The next frame, or null if more bytes are needed.
   *
   * @throws ElmsailException {@code MALFORMED} for an invalid frame; the decoder must not be used
   *     further
   */
  Frame next(ByteBuf in) {
    if (payload == null) {
      int part = Math.min(header.length - headerBytes, in.readableBytes());
      in.readBytes(header, headerBytes, part);
      headerBytes += part;
      if (headerBytes < header.length) {
        return null;
      }
      int length = ByteBuffer.wrap(header).getInt();
      int kind = header[Frame.LENGTH_BYTES];
      if (length < Frame.HEADER_BYTES
          || length > Frame.MAX_BYTES
          || kind < Frame.REQUEST
          || kind > Frame.HELLO) {
        throw new ElmsailException(
            ErrorCode.MALFORMED, "frame of " + length + " bytes, kind " + kind);
      }
      payload =
          length == Frame.HEADER_BYTES ? EMPTY_PAYLOAD : new byte[length - Frame.HEADER_BYTES];
      payloadBytes = 0;
    }
    int part = Math.min(payload.length - payloadBytes, in.readableBytes());
    in.readBytes(payload, payloadBytes, part);
    payloadBytes += part;
    return payloadBytes < payload.length ? null : completeFrame();
  }

  private Frame completeFrame() {
    byte[] bytes = payload;
    payload = null;
    headerBytes = 0;
    CRC32C check = new CRC32C();
    check.update(header, Frame.LENGTH_BYTES, Frame.CHECKSUM_OFFSET);
    check.update(bytes, 0, bytes.length);
    ByteBuffer fields = ByteBuffer.wrap(header);
    if (fields.getInt(Frame.LENGTH_BYTES + Frame.CHECKSUM_OFFSET) != (int) check.getValue()) {
      throw new ElmsailException(ErrorCode.MALFORMED, "checksum");
    }
    return new Frame(
        header[Frame.LENGTH_BYTES],
        fields.getLong(Frame.LENGTH_BYTES + 1),
        fields.getShort(Frame.LENGTH_BYTES + 9),
        bytes);
  }
}
