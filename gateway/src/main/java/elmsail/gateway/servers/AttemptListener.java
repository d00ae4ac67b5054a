package elmsail.gateway.servers;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the events of one attempt, in order and on the event loop. Nothing follows {@code
 * onComplete}, {@code onFailure} or a cancellation.
 */
public interface AttemptListener {
  /** The head of a response that carries the request's id. */
  void onHead(HttpResponse head);

  /** Bytes of the response's body, which the listener releases. */
  void onData(ByteBuf bytes);

  /** The response is complete. */
  void onComplete();

  /**
   * The attempt failed without a complete response.
   *
   * @param sent whether any byte of the request may have been sent, so that it may have run
   */
  void onFailure(boolean sent);
}
