package elmsail.rpc;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import io.netty.buffer.ByteBuf;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * Decodes the frames of one connection from bytes in any fragments. Used on the connection's loop
 * only.
 */
final class FrameDecoder {

  private static final byte[] EMPTY_PAYLOAD = {};

  private final byte[] header = new byte[Frame.LENGTH_BYTES + Frame.HEADER_BYTES];
  private int headerBytes;
  private byte[] payload;
  private int payloadBytes;

  /**
   * The next frame, or null if more bytes are needed.
   *
   * @throws ElmsailException with MALFORMED for a wrong length, kind or checksum; the decoder must
   *     not be used again then
   */
  Frame next(ByteBuf in) {
    if (payload == null && !readHeader(in)) {
      return null;
    }
    int part = Math.min(payload.length - payloadBytes, in.readableBytes());
    in.readBytes(payload, payloadBytes, part);
    payloadBytes += part;
    return payloadBytes < payload.length ? null : completeFrame();
  }

  /** Whether the header is complete; the payload is allocated then. */
  private boolean readHeader(ByteBuf in) {
    int part = Math.min(header.length - headerBytes, in.readableBytes());
    in.readBytes(header, headerBytes, part);
    headerBytes += part;
    if (headerBytes < header.length) {
      return false;
    }
    int length = ByteBuffer.wrap(header).getInt();
    int kind = header[Frame.LENGTH_BYTES];
    if (length < Frame.HEADER_BYTES || length > Frame.MAX_BYTES) {
      throw new ElmsailException(
          ErrorCode.MALFORMED,
          "frame length: expected "
              + Frame.HEADER_BYTES
              + " to "
              + Frame.MAX_BYTES
              + " bytes, found "
              + length);
    }
    if (kind < Frame.REQUEST || kind > Frame.HELLO) {
      throw new ElmsailException(ErrorCode.MALFORMED, "unknown kind of frame " + kind);
    }
    payload = length == Frame.HEADER_BYTES ? EMPTY_PAYLOAD : new byte[length - Frame.HEADER_BYTES];
    payloadBytes = 0;
    return true;
  }

  private Frame completeFrame() {
    byte[] bytes = payload;
    payload = null;
    headerBytes = 0;
    CRC32C checksum = new CRC32C();
    checksum.update(header, Frame.LENGTH_BYTES, Frame.CHECKSUM_OFFSET);
    checksum.update(bytes, 0, bytes.length);
    ByteBuffer fields = ByteBuffer.wrap(header);
    int expected = fields.getInt(Frame.LENGTH_BYTES + Frame.CHECKSUM_OFFSET);
    if (expected != (int) checksum.getValue()) {
      throw new ElmsailException(
          ErrorCode.MALFORMED,
          String.format(
              "frame checksum: expected %08x, found %08x", expected, (int) checksum.getValue()));
    }
    return new Frame(
        header[Frame.LENGTH_BYTES],
        fields.getLong(Frame.LENGTH_BYTES + Frame.CALL_ID_OFFSET),
        fields.getShort(Frame.LENGTH_BYTES + Frame.TYPE_OFFSET),
        bytes);
  }
}
