package elmsail.gateway.servers;

import io.netty.handler.codec.http.FullHttpRequest;

/** A request as it goes to a server. */
public interface OutgoingRequest {
  /** Its {@code Elmsail-Request-Id}. */
  String id();

  /** The prompt, by which a server with a warm prefix is preferred. */
  Prompt prompt();

  /** Whether it is an item of a job. */
  boolean isBatchItem();

  /** When it has to be answered, on the loop's clock; Long.MAX_VALUE: at no certain time. */
  default long deadlineAt() {
    return Long.MAX_VALUE;
  }

  /** Made just before it is written, so that the time left in it is right. */
  FullHttpRequest toHttpRequest(String serverId);
}
