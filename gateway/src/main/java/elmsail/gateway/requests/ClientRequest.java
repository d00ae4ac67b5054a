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
 * A request of a client, or an item of a batch job, as it is sent to servers: with the method,
 * target, headers and body that were received. Owned by the gateway's event loop.
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

  /** In ms on the event loop's clock; {@code Long.MAX_VALUE} for no deadline. */
  private final long deadlineAt;

  private long lastEventId = -1;
  private final Credentials credentials;

  /** Determines the tenant that the request is served for. */
  private Authentication authentication;

  /**
   * Creates the request of a client.
   *
   * @param authentication must not be {@link Authentication.Refused}
   * @param priority the value of the {@code Priority} header; 0 is the most urgent
   * @param deadlineAt in ms on {@code clock}
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
   * Creates the request of a batch item, which has no deadline.
   *
   * @param authentication must not be {@link Authentication.Refused}
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

  /**
   * Sets the authentication of the next attempt. Once the {@code Authorization} header has been
   * removed, later attempts are sent without it, too.
   */
  void authenticateAs(Authentication newAuthentication) {
    authentication = newAuthentication;
    if (!newAuthentication.equals(Authentication.Anonymous.NO_TENANTS)) {
      headers.remove(Headers.AUTHORIZATION);
    }
  }

  /** The credentials of the request as received. */
  Credentials credentials() {
    return credentials;
  }

  /** The name of the tenant that the request is served for; empty if there is none. */
  Optional<String> tenantName() {
    return authentication.tenantName();
  }

  /**
   * Makes the next attempt resume the stream after this event. A client request gets the most
   * urgent priority, because the client already has a part of its response.
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
