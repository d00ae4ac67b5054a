package elmsail.gateway.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Collects the body of the request that a connection receives. Its bytes count against the
 * listener's limit for all bodies until {@link #releaseReservation}, which comes after the
 * response. Owned by the connection's event loop.
 */
final class RequestBodyBuffer {
  private static final byte[] EMPTY_BODY = new byte[0];

  private final ClientListener listener;

  /** On the heap, or null without any bytes. */
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
   * Appends a part of the body, which stays the caller's.
   *
   * @param head of the request; its length decides the capacity
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

  /** The complete body, not copied where its length was announced; the buffer is empty then. */
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

  /** Drops the bytes; they stay reserved. */
  void discard() {
    buffer = null;
  }

  /** Frees this request's part of the limit for all bodies. */
  void releaseReservation() {
    listener.releaseBodyBytes(reservedBytes);
    reservedBytes = 0;
  }
}
