package elmsail.gateway.requests;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * The client's side of one request. Just one final answer; calls behind a client's leave do
 * nothing.
 */
public interface ResponseSink {

  /** An answer that is whole. */
  void sendResponse(int status, HttpHeaders headers, ByteBuf body);

  /**
   * The head of an answer whose body comes as it is made.
   *
   * @param length of the body in bytes, or -1 for chunks
   */
  void sendHead(int status, HttpHeaders headers, long length);

  /** Bytes of its body; released here. Goes out when the loop has nothing more to read for it. */
  void sendData(ByteBuf bytes);

  /** Its proper end. */
  void sendEnd();

  /** Ends the connection so that no answer, or the begun one, can look complete. */
  void abort();

  /**
   * Whether more can be written without being queued for long; told again by {@link
   * RequestHandle#onWritabilityChanged}.
   */
  boolean isWritable();
}
