package elmsail.gateway.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Collects the body of the request that a connection receives. The bytes of the body count against
 * the listener's limit for all bodies until {@link #releaseReservation}, which is called after the
 * response. Owned by the connection's event loop.
 */
final class RequestBodyBuffer {
  private static final byte[] EMPTY_BODY = new byte[0];

  private final ClientListener listener;

  /** A heap buffer, or null if no byte of the body has been received. */
  private ByteBuf buffer;

  private int reservedBytes;

  RequestBodyBuffer(ClientListener listener) {
    this.listener = listener;
  }

  /** Bytes of the body received so far. */
  int readableBytes() {
    return buffer == null ? 0 : buffer.readableBytes();
  }

  /**
   * Copies a part of the body to the buffer; the caller must still release the part.
   *
   * @param head the request's head; its Content-Length sets the capacity of the buffer
   * @return false if the bodies of all requests together would exceed their limit
   */
  boolean append(ByteBuf bytes, HttpRequest head) {
    int length = bytes.readableBytes();
    if (length == 0) {
      return true;
    }
    if (!listener.tryReserveBodyBytes(length)) {
      return false;
    }
    reservedBytes += length;
    if (buffer == null) {
      buffer = Unpooled.buffer((int) Math.max(length, HttpUtil.getContentLength(head, 0L)));
    }
    buffer.writeBytes(bytes);
    return true;
  }

  /**
   * Returns the complete body and empties the buffer. The bytes are not copied if the request's
   * Content-Length was known.
   */
  byte[] take() {
    if (buffer == null) {
      return EMPTY_BODY;
    }
    byte[] bytes = buffer.array();
    if (bytes.length != buffer.readableBytes()) {
      bytes = new byte[buffer.readableBytes()];
      buffer.readBytes(bytes);
    }
    buffer = null;
    return bytes;
  }

  /** Discards the bytes of the body; their reservation remains. */
  void discard() {
    buffer = null;
  }

  /** Releases the bytes that this request has reserved of the limit for all bodies. */
  void releaseReservation() {
    listener.releaseBodyBytes(reservedBytes);
    reservedBytes = 0;
  }
}
