package elmsail.gateway.requests;

import elmsail.batch.BatchItem;
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
import java.util.Optional;

/**
 * A request of a client, or an item of a batch job, as it is sent to servers: method, target,
 * headers and body as they were received. Owned by the gateway's event loop.
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

  /** In ms on the loop's clock; {@code Long.MAX_VALUE} for none. */
  private final long deadlineAt;

  private long lastEventId = -1;
  private final Credentials credentials;

  /** In whose name it is served. */
  private Authentication authentication;

  /**
   * A client's request.
   *
   * @param authentication in whose name it is served; none that refuses it
   * @param priority on the wire; 0 is the most urgent
   * @param deadlineAt in ms on this clock
   */
  ClientRequest(
      String id,
      ReceivedRequest received,
      Authentication authentication,
      int priority,
      MonotonicClock clock,
      long deadlineAt) {
    this.id = id;
    method = HttpMethod.valueOf(received.method());
    uri = received.uri();
    headers = Headers.endToEnd(received.headers());
    headers.remove(Headers.SENDER);
    credentials = received.credentials();
    authenticateAs(authentication);
    body = received.body();
    prompt = promptOf(received.headers());
    this.priority = priority;
    isBatchItem = false;
    this.clock = clock;
    this.deadlineAt = deadlineAt;
  }

  /**
   * An item of a batch job, without a deadline.
   *
   * @param authentication in whose name it is served; none that refuses it
   */
  ClientRequest(
      BatchItem item,
      HttpHeaders itemHeaders,
      Authentication authentication,
      int priority,
      MonotonicClock clock) {
    id = item.id();
    method = HttpMethod.POST;
    uri = item.path();
    headers = Headers.endToEnd(itemHeaders);
    headers.remove(Headers.SENDER);
    credentials = Credentials.of(itemHeaders);
    authenticateAs(authentication);
    body = item.body();
    prompt = promptOf(itemHeaders);
    this.priority = priority;
    isBatchItem = true;
    this.clock = clock;
    deadlineAt = Long.MAX_VALUE;
  }

  private static Prompt promptOf(HttpHeaders headers) {
    return Prompt.parse(headers.get(Headers.PROMPT_PREFIX), headers.get(Headers.TOKENS));
  }

  /** The next attempt is made in this name. A key that was hidden once stays so. */
  void authenticateAs(Authentication newAuthentication) {
    authentication = newAuthentication;
    if (!newAuthentication.equals(Authentication.Anonymous.NO_TENANTS)) {
      headers.remove(Headers.AUTHORIZATION);
    }
  }

  /** The key that it carries, if any. */
  Credentials credentials() {
    return credentials;
  }

  /** The tenant in whose name it is served; empty if there is none. */
  Optional<String> tenantName() {
    return authentication.tenantName();
  }

  /**
   * The next attempt resumes the stream after this event. A client that has part of its response is
   * the most urgent.
   */
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
    Optional<String> tenantName = tenantName();
    if (tenantName.isPresent()) {
      requestHeaders.set(Headers.SENDER, tenantName.get());
    }
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
