package elmsail.gateway.servers;

import io.netty.handler.codec.http.FullHttpRequest;

/** A request as it is sent to servers. */
public interface OutgoingRequest {
  /** The value of {@code Elmsail-Request-Id}. */
  String id();

  /** Its prompt; servers with a cached prefix of it are preferred. */
  Prompt prompt();

  /** Whether it is an item of a batch job. */
  boolean isBatchItem();

  /** Its deadline in ms on the loop's clock, or {@code Long.MAX_VALUE} for none. */
  default long deadlineAt() {
    return Long.MAX_VALUE;
  }

  /**
   * The message to be written; created just before that, so that the remaining time in it is right.
   *
   * @param serverId the server it is meant for, sent as {@code Elmsail-Expect-Server}
   */
  FullHttpRequest toHttpRequest(String serverId);
}
