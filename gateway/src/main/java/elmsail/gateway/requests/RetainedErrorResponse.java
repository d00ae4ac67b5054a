package elmsail.gateway.requests;

import elmsail.gateway.http.Headers;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * A server's complete error response, retained while its request is retried at another server. Its
 * owner either sends or releases it.
 */
record RetainedErrorResponse(HttpResponse head, ByteBuf body) {

  /** Whether another server may respond better than with this status. */
  static boolean isRetryable(int status) {
    return status == 500 || status == 502 || status == 504;
  }

  /** Sends it to the client, which releases the body. */
  void sendTo(ResponseSink client) {
    client.sendResponse(head.status().code(), Headers.endToEnd(head.headers()), body);
  }

  /** Releases the body. */
  void release() {
    body.release();
  }
}
