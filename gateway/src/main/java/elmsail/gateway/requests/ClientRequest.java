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
  private final boolean item;
  private final MonotonicClock clock;

  /** On the loop's clock; Long.MAX_VALUE: none is told. */
  private final long endsAt;

  private long lastEventId = -1;

  ClientRequest(
      String id,
      String method,
      String uri,
      HttpHeaders headers,
      byte[] body,
      int priority,
      boolean item,
      MonotonicClock clock,
      long endsAt) {
    this.id = id;
    this.method = HttpMethod.valueOf(method);
    this.uri = uri;
    this.headers = Headers.endToEnd(headers);
    this.body = body;
    this.prompt = Prompt.read(headers.get(Headers.PROMPT_PREFIX), headers.get(Headers.TOKENS));
    this.priority = priority;
    this.item = item;
    this.clock = clock;
    this.endsAt = endsAt;
  }

  /** The run goes on behind this event; what a client has begun to get is the most urgent. */
  void goOnBehind(long eventId) {
    lastEventId = eventId;
    if (!item) {
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
  public boolean item() {
    return item;
  }

  @Override
  public long endsAt() {
    return endsAt;
  }

  @Override
  public FullHttpRequest message(String serverId) {
    FullHttpRequest message =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, uri, Unpooled.wrappedBuffer(body));
    HttpHeaders to = message.headers();
    to.set(headers);
    to.set(Headers.REQUEST_ID, id);
    to.set(Headers.EXPECT_SERVER, serverId);
    to.set(Headers.PRIORITY, Integer.toString(priority));
    if (endsAt != Long.MAX_VALUE) {
      to.set(Headers.DEADLINE_MS, Long.toString(Math.max(1, endsAt - clock.now())));
    }
    if (lastEventId >= 0) {
      to.set(Headers.LAST_EVENT_ID, Long.toString(lastEventId));
    }
    if (body.length > 0 || !method.equals(HttpMethod.GET) && !method.equals(HttpMethod.HEAD)) {
      to.set("Content-Length", Integer.toString(body.length));
    }
    return message;
  }
}
