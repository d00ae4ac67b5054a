package elmsail.gateway.requests;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * The client's side of one request. Exactly one response is sent; calls after the client
 * disconnected do nothing. To be called on the event loop.
 */
public interface ResponseSink {

  /** Sends a complete response and releases the body. */
  void sendResponse(int status, HttpHeaders headers, ByteBuf body);

  /**
   * Sends the head of a response whose body follows.
   *
   * @param length of the body in bytes, or -1 for chunks
   */
  void sendHead(int status, HttpHeaders headers, long length);

  /** Sends bytes of the body and releases them; flushed when the loop has nothing more to read. */
  void sendData(ByteBuf bytes);

  /** Ends the response. */
  void sendEnd();

  /** Closes the connection so that neither no response nor a truncated one can look complete. */
  void abort();

  /**
   * Whether more can be written without long buffering; changes are passed to {@link
   * RequestHandle#onWritabilityChanged}.
   */
  boolean isWritable();
}
