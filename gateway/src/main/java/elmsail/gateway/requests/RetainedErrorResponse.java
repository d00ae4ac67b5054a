package elmsail.gateway.requests;

import elmsail.gateway.http.Headers;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * A server's complete error response, retained while its request is retried at another server. The
 * owner must either send or release it.
 */
record RetainedErrorResponse(HttpResponse head, ByteBuf body) {

  /** Whether another server might not return this error status. */
  static boolean isRetryable(int status) {
    return status == 500 || status == 502 || status == 504;
  }

  /** Sends the response to the client, which releases the body. */
  void sendTo(ResponseSink client) {
    client.sendResponse(head.status().code(), Headers.endToEnd(head.headers()), body);
  }

  /** Releases the body. */
  void release() {
    body.release();
  }
}
