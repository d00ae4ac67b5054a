package elmsail.gateway.requests;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Sends the response to the client of one request. Exactly one response is sent. Calls after the
 * client has disconnected have no effect. To be called on the event loop.
 */
public interface ResponseSink {

  /** Sends a complete response and releases the body. */
  void sendResponse(int status, HttpHeaders headers, ByteBuf body);

  /**
   * Sends the head of a response whose body follows.
   *
   * @param length the length of the body in bytes, or -1 for chunked transfer encoding
   */
  void sendHead(int status, HttpHeaders headers, long length);

  /** Sends bytes of the body and releases them; flushed when the event loop has no more to read. */
  void sendData(ByteBuf bytes);

  /** Ends the response. */
  void sendEnd();

  /** Closes the connection, so that the client detects a missing or truncated response. */
  void abort();

  /**
   * Whether more data can be written without long buffering; changes are reported to {@link
   * RequestHandle#onWritabilityChanged}.
   */
  boolean isWritable();
}
