package elmsail.gateway.requests;

import elmsail.gateway.http.Headers;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** A server's whole error answer, kept while its request is retried elsewhere. */
record RetainedErrorResponse(HttpResponse head, ByteBuf body) {

  /** Whether an answer of that status may be better at another server. */
  static boolean isRetryable(int status) {
    return status == 500 || status == 502 || status == 504;
  }

  /** Answers the client with it; the body is released by the client's side. */
  void sendTo(ResponseSink client) {
    client.sendResponse(head.status().code(), Headers.endToEnd(head.headers()), body);
  }

  /** Drops it. */
  void release() {
    body.release();
  }
}
