package elmsail.gateway.servers;

import io.netty.handler.codec.http.FullHttpRequest;

/** A request as it is sent to servers. */
public interface OutgoingRequest {
  /** The value of {@code Elmsail-Request-Id}. */
  String id();

  /** The prompt of the request; servers that have a prefix of it cached are preferred. */
  Prompt prompt();

  /** Whether the request is an item of a batch job. */
  boolean isBatchItem();

  /** The deadline in ms on the event loop's clock, or {@code Long.MAX_VALUE} for none. */
  default long deadlineAt() {
    return Long.MAX_VALUE;
  }

  /**
   * Creates the HTTP message. Called just before the message is written, so that the remaining time
   * in its headers is accurate.
   *
   * @param serverId the intended server, sent as {@code Elmsail-Expect-Server}
   */
  FullHttpRequest toHttpRequest(String serverId);
}
