package elmsail.gateway.requests;

import elmsail.gateway.http.Headers;
import elmsail.gateway.servers.OutgoingRequest;
import elmsail.gateway.servers.Prompt;
import elmsail.runtime.MonotonicClock;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;

/**
 * One request as it is sent to servers: method, target, headers and body as the client gave them.
 */
final class ClientRequest implements OutgoingRequest {
  private final String id;
  private final HttpMethod method;
  private final String uri;
  private final HttpHeaders headers;
  private final byte[] body;
  private final Prompt prompt;
  private int priority;
  private final boolean isBatchItem;
  private final MonotonicClock clock;

  /** On the loop's clock; Long.MAX_VALUE: none is told. */
  private final long deadlineAt;

  private long lastEventId = -1;

  ClientRequest(
      String id,
      String method,
      String uri,
      HttpHeaders headers,
      byte[] body,
      int priority,
      boolean isBatchItem,
      MonotonicClock clock,
      long deadlineAt) {
    this.id = id;
    this.method = HttpMethod.valueOf(method);
    this.uri = uri;
    this.headers = Headers.endToEnd(headers);
    this.body = body;
    this.prompt = Prompt.parse(headers.get(Headers.PROMPT_PREFIX), headers.get(Headers.TOKENS));
    this.priority = priority;
    this.isBatchItem = isBatchItem;
    this.clock = clock;
    this.deadlineAt = deadlineAt;
  }

  /** The run goes on behind this event; what a client has begun to get is the most urgent. */
  void resumeAfter(long eventId) {
    lastEventId = eventId;
    if (!isBatchItem) {
      priority = 0;
    }
  }

  @Override
  public String id() {
    return id;
  }

  @Override
  public Prompt prompt() {
    return prompt;
  }

  @Override
  public boolean isBatchItem() {
    return isBatchItem;
  }

  @Override
  public long deadlineAt() {
    return deadlineAt;
  }

  @Override
  public FullHttpRequest toHttpRequest(String serverId) {
    FullHttpRequest message =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, uri, Unpooled.wrappedBuffer(body));
    HttpHeaders requestHeaders = message.headers();
    requestHeaders.set(headers);
    requestHeaders.set(Headers.REQUEST_ID, id);
    requestHeaders.set(Headers.EXPECT_SERVER, serverId);
    requestHeaders.set(Headers.PRIORITY, Integer.toString(priority));
    if (deadlineAt != Long.MAX_VALUE) {
      requestHeaders.set(Headers.DEADLINE_MS, Long.toString(Math.max(1, deadlineAt - clock.now())));
    }
    if (lastEventId >= 0) {
      requestHeaders.set(Headers.LAST_EVENT_ID, Long.toString(lastEventId));
    }
    if (body.length > 0 || !method.equals(HttpMethod.GET) && !method.equals(HttpMethod.HEAD)) {
      requestHeaders.set("Content-Length", Integer.toString(body.length));
    }
    return message;
  }
}
