package elmsail.gateway.servers;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * What happens to one attempt, in order; behind {@code whole}, {@code failed} or a cancel nothing
 * comes.
 */
public interface AttemptListener {
  /** The head of an answer that bears the request's id and tells its end. */
  void onHead(HttpResponse head);

  /** Bytes of its body, to be released by the one who gets it. */
  void onData(ByteBuf bytes);

  /** The answer has come to its proper end. */
  void onComplete();

  /**
   * There will be no whole answer.
   *
   * @param sent whether a byte of it may have left, so that it may have run
   */
  void onFailure(boolean sent);
}
