package elmsail.gateway.frontend;

import elmsail.config.RoutingConfig.ClientLimits;
import elmsail.gateway.http.RequestCounters;
import elmsail.gateway.requests.LocalReplies;
import elmsail.gateway.requests.ReceivedRequest;
import elmsail.gateway.requests.RequestHandle;
import elmsail.runtime.Timers.Timer;
import elmsail.runtime.http.StrictRequestDecoder;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;

/**
 * A connection of one client. The connection serves one request at a time and dispatches each
 * request once the request is complete; pipelined requests wait in a queue. The connection is also
 * read while a request is served, since only a read detects that the client has disconnected. All
 * methods run on the channel's event loop.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {
  private static final int MAX_LINE_BYTES = 8_192;
  private static final int MAX_CHUNK_BYTES = 32 * 1024;
  private static final double REJECTED_RETRY_AFTER_S = 0.2;

  private final ClientListener listener;

  /** The limits of the configuration that was in force when the current request began. */
  private ClientLimits limits;

  private ClientTimeouts timeouts;
  private StrictRequestDecoder decoder;
  private final RequestBodyBuffer body;
  private final PipelinedRequestQueue pipelined = new PipelinedRequestQueue();
  private Channel channel;

  /** The head of the request that is being received, or null. */
  private HttpRequest head;

  /** The response to the request that is being served, or null. */
  private ClientResponse response;

  private RequestHandle activeRequest = RequestHandle.NONE;

  /** When the first byte of the current request arrived. */
  private long arrivedAt;

  private long idleSince;

  /** The idle timeout that the client was told last; 0 before the first response. */
  private long announcedIdleMs;

  private boolean inRequest;
  private boolean closing;
  private Timer timeoutCheck;

  ClientConnection(ClientListener listener) {
    super(false); // this class releases the messages, as some of them are queued
    this.listener = listener;
    body = new RequestBodyBuffer(listener);
    limits = listener.limits();
    timeouts = new ClientTimeouts(limits);
    decoder = newDecoder();
  }

  private StrictRequestDecoder newDecoder() {
    return new StrictRequestDecoder(MAX_LINE_BYTES, limits.maxHeaderBytes(), MAX_CHUNK_BYTES);
  }

  /** Adopts the limits that are in force. To be called only between requests. */
  private void adoptLimits() {
    ClientLimits current = listener.limits();
    if (current.equals(limits)) {
      return;
    }
    boolean headChanged = current.maxHeaderBytes() != limits.maxHeaderBytes();
    limits = current;
    timeouts = new ClientTimeouts(limits);
    // A request of which bytes were received during the last response keeps its decoder.
    if (headChanged && !decoder.isInsideMessage()) {
      StrictRequestDecoder previous = decoder;
      decoder = newDecoder();
      channel.pipeline().replace(previous, null, decoder);
    }
  }

  /** Adds the connection's handlers to a new channel. */
  void addTo(ChannelPipeline pipeline) {
    channel = pipeline.channel();
    pipeline.addLast(
        new ChannelInboundHandlerAdapter() {
          @Override
          public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            onBytes();
            ctx.fireChannelRead(bytes);
          }
        },
        decoder,
        new HttpResponseEncoder(),
        this);
  }

  private void onBytes() {
    if (!inRequest) {
      inRequest = true;
      arrivedAt = listener.timers().now();
      adoptLimits();
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    idleSince = listener.timers().now();
    timeoutCheck = listener.timers().schedule(timeouts.maxCheckIntervalMs(), this::checkTimeouts);
    ctx.fireChannelActive();
  }

  /**
   * Rejects a request that arrives too slowly, and closes a connection that is idle for too long.
   */
  private void checkTimeouts() {
    if (closing) {
      return;
    }
    long now = listener.timers().now();
    long remainingMs = timeouts.maxCheckIntervalMs();
    if (response == null && inRequest && pipelined.isEmpty()) {
      remainingMs = timeouts.requestRemainingMs(arrivedAt, body.readableBytes(), head != null, now);
      if (remainingMs <= 0) {
        reject(HttpResponseStatus.REQUEST_TIMEOUT, RequestCounters.Event.CLIENT_TIMEOUT);
        return;
      }
    } else if (response == null && !inRequest) {
      adoptLimits();
      remainingMs = timeouts.idleRemainingMs(idleSince, announcedIdleMs, now);
      if (remainingMs <= 0) {
        close();
        return;
      }
    }
    timeoutCheck =
        listener.timers().schedule(timeouts.nextCheckMs(remainingMs), this::checkTimeouts);
  }

  /** Returns the keep-alive timeout to announce to the client, in seconds. */
  long announceKeepAlive() {
    ClientLimits current = listener.limits();
    announcedIdleMs = current.idleTimeoutMs();
    return new ClientTimeouts(current).keepAliveSeconds();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
    if (closing) {
      ReferenceCountUtil.release(message);
    } else if (response != null) {
      pipelined.add(message, listener.timers().now());
      if (pipelined.isFull()) {
        channel.config().setAutoRead(false);
      }
    } else {
      onMessage(message);
    }
  }

  private void onMessage(HttpObject message) {
    try {
      if (message.decoderResult().isFailure()) {
        boolean tooLong = message.decoderResult().cause() instanceof TooLongFrameException;
        reject(
            tooLong
                ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                : HttpResponseStatus.BAD_REQUEST,
            RequestCounters.Event.BAD_REQUEST);
        return;
      }
      if (message instanceof HttpRequest request) {
        onHead(request);
      }
      if (!closing && message instanceof HttpContent content) {
        onContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void onHead(HttpRequest request) {
    head = request;
    if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, RequestCounters.Event.TOO_LARGE);
    } else if (HttpUtil.is100ContinueExpected(request)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  private void onContent(HttpContent content) {
    if (body.readableBytes() + content.content().readableBytes() > limits.maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, RequestCounters.Event.TOO_LARGE);
      return;
    }
    if (!body.append(content.content(), head)) {
      reject(HttpResponseStatus.SERVICE_UNAVAILABLE, RequestCounters.Event.REJECTED_NO_SERVER);
      return;
    }
    if (content instanceof LastHttpContent) {
      onRequestComplete();
    }
  }

  private void onRequestComplete() {
    if (listener.rejectsNewRequests()) {
      reject(HttpResponseStatus.SERVICE_UNAVAILABLE, RequestCounters.Event.REJECTED_DRAINING);
      return;
    }
    String method = head.method().name();
    ReceivedRequest received =
        new ReceivedRequest(method, head.uri(), head.headers(), body.take(), arrivedAt);
    boolean isHttp11 = head.protocolVersion().equals(HttpVersion.HTTP_1_1);
    boolean keepAlive = HttpUtil.isKeepAlive(head) && isHttp11;
    ClientResponse newResponse =
        new ClientResponse(this, listener, channel, keepAlive, isHttp11, method.equals("HEAD"));
    response = newResponse;
    head = null;
    RequestHandle handle = listener.dispatcher().dispatch(received, newResponse);
    if (response == newResponse) {
      activeRequest = handle;
    }
  }

  /** Called once a response has ended: the connection closes or serves the next request. */
  void onResponseWritten(ClientResponse written, boolean keepAlive) {
    if (response != written) {
      return;
    }
    response = null;
    activeRequest = RequestHandle.NONE;
    body.releaseReservation();
    idleSince = listener.timers().now();
    inRequest = false;
    if (!keepAlive) {
      closing = true;
      pipelined.releaseAll();
      return;
    }
    if (!pipelined.isEmpty() || decoder.isInsideMessage()) {
      onBytes();
      // Runs as a separate task: responses that are sent immediately would otherwise recurse once
      // for each pipelined request.
      channel.eventLoop().execute(this::processPipelined);
    }
  }

  private void processPipelined() {
    while (response == null && !closing && !pipelined.isEmpty()) {
      PipelinedRequestQueue.Entry next = pipelined.poll();
      if (next.message() instanceof HttpRequest) {
        arrivedAt = next.arrivedAt();
      }
      onMessage(next.message());
    }
    if (!pipelined.isFull()) {
      channel.config().setAutoRead(true);
    }
  }

  /** Rejects a request that has not been dispatched, and so has not run; closes the connection. */
  private void reject(HttpResponseStatus status, RequestCounters.Event reason) {
    listener.counters().count(reason);
    ClientResponse rejection = new ClientResponse(this, listener, channel, false, true, false);
    rejection.linger();
    response = rejection;
    head = null;
    body.discard();
    boolean mayRetry = status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
    LocalReplies.send(rejection, status.code(), null, mayRetry ? REJECTED_RETRY_AFTER_S : 0);
  }

  /** Closes the connection unless a request is being served or received. */
  void closeIfIdle() {
    if (response == null && !decoder.isInsideMessage()) {
      close();
    }
  }

  void close() {
    closing = true;
    channel.close();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    activeRequest.onWritabilityChanged(channel.isWritable());
    ctx.fireChannelWritabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    closing = true;
    if (timeoutCheck != null) {
      timeoutCheck.cancel();
    }
    pipelined.releaseAll();
    body.releaseReservation();
    body.discard();
    RequestHandle disconnected = activeRequest;
    activeRequest = RequestHandle.NONE;
    if (response != null) {
      response.onClientDisconnect();
      response = null;
    }
    disconnected.onClientDisconnect();
    listener.onClosed(this);
    ctx.fireChannelInactive();
  }

  /** Closes the connection after a connection reset or a defect of the gateway. */
  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException)) {
      listener.counters().count(RequestCounters.Event.FAULT);
    }
    close();
  }
}
