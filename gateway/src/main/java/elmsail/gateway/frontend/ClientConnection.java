package elmsail.gateway.frontend;

import elmsail.config.RoutingConfig.ClientLimits;
import elmsail.gateway.http.RequestCounters;
import elmsail.gateway.requests.LocalReplies;
import elmsail.gateway.requests.ReceivedRequest;
import elmsail.gateway.requests.RequestHandle;
import elmsail.runtime.Timers.Timer;
import elmsail.runtime.http.StrictRequestDecoder;
import io.netty.buffer.ByteBuf;
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

/**
 * One client's connection: one request at a time, read whole before it is taken; what the client
 * writes behind it waits. It goes on being read while a request is served, as only that shows that
 * the client left.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {
  private static final int MAX_LINE_BYTES = 8_192;
  private static final int MAX_CHUNK_BYTES = 32 * 1024;
  private static final byte[] EMPTY_BODY = new byte[0];

  /** A body may take as long as a head, and for each such piece a second more. */
  private static final int MIN_BODY_BYTES_PER_SECOND = 64 * 1024;

  /** A connection is closed so much later than its client was told. */
  private static final long KEEP_ALIVE_GRACE_MS = 1_000;

  private static final long MIN_TIMEOUT_CHECK_MS = 50;

  private final ClientListener listener;
  private final ClientLimits limits;
  private final StrictRequestDecoder decoder;
  private final PipelinedRequestQueue pipelined = new PipelinedRequestQueue();
  private Channel channel;
  private HttpRequest head;
  private ByteBuf body;
  private int reservedBodyBytes;
  private ClientResponse response;
  private RequestHandle activeRequest = RequestHandle.NONE;
  private long arrivedAt;
  private long idleSince;
  private boolean inRequest;
  private boolean closing;
  private Timer checkTimeouts;

  ClientConnection(ClientListener listener) {
    super(false);
    this.listener = listener;
    limits = listener.limits();
    decoder = new StrictRequestDecoder(MAX_LINE_BYTES, limits.maxHeaderBytes(), MAX_CHUNK_BYTES);
  }

  void addTo(ChannelPipeline pipeline) {
    channel = pipeline.channel();
    pipeline.addLast(
        new ChannelInboundHandlerAdapter() {
          @Override
          public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            onFirstByte();
            ctx.fireChannelRead(bytes);
          }
        },
        decoder,
        new HttpResponseEncoder(),
        this);
  }

  private void onFirstByte() {
    if (!inRequest) {
      inRequest = true;
      arrivedAt = listener.timers().now();
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    idleSince = listener.timers().now();
    checkTimeouts = listener.timers().schedule(limits.headerTimeoutMs(), this::checkTimeouts);
    ctx.fireChannelActive();
  }

  /** Ends the connection of a client that is too slow, or sends nothing for long. */
  private void checkTimeouts() {
    if (closing) {
      return;
    }
    long now = listener.timers().now();
    long remainingMs = limits.headerTimeoutMs();
    if (response == null && inRequest && pipelined.isEmpty()) {
      int bytes = body == null ? 0 : body.readableBytes();
      remainingMs =
          arrivedAt
              + limits.headerTimeoutMs()
              + bytes * 1_000L / MIN_BODY_BYTES_PER_SECOND
              + (head == null ? 0 : limits.headerTimeoutMs())
              - now;
      if (remainingMs <= 0) {
        listener.counters().count(RequestCounters.Event.CLIENT_TIMEOUT);
        reject(408);
        return;
      }
    } else if (response == null && !inRequest) {
      remainingMs = idleSince + limits.idleTimeoutMs() + KEEP_ALIVE_GRACE_MS - now;
      if (remainingMs <= 0) {
        close();
        return;
      }
    }
    // A head may begin to come right behind this look.
    checkTimeouts =
        listener
            .timers()
            .schedule(
                Math.max(MIN_TIMEOUT_CHECK_MS, Math.min(remainingMs, limits.headerTimeoutMs())),
                this::checkTimeouts);
  }

  /** Whole seconds that the client is told it may leave the connection idle. */
  long keepAliveTimeoutSeconds() {
    return Math.max(1, limits.idleTimeoutMs() / 1_000 - 1);
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
        listener.counters().count(RequestCounters.Event.BAD_REQUEST);
        reject(message.decoderResult().cause() instanceof TooLongFrameException ? 431 : 400);
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
      listener.counters().count(RequestCounters.Event.TOO_LARGE);
      reject(413);
    } else if (HttpUtil.is100ContinueExpected(request)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  private void onContent(HttpContent content) {
    int bytes = content.content().readableBytes();
    int before = body == null ? 0 : body.readableBytes();
    if (before + bytes > limits.maxBodyBytes()) {
      listener.counters().count(RequestCounters.Event.TOO_LARGE);
      reject(413);
      return;
    }
    if (bytes > 0) {
      if (!listener.tryReserveBodyBytes(bytes)) {
        listener.counters().count(RequestCounters.Event.REJECTED_NO_SERVER);
        reject(503);
        return;
      }
      reservedBodyBytes += bytes;
      if (body == null) {
        body = Unpooled.buffer((int) Math.max(bytes, HttpUtil.getContentLength(head, 0L)));
      }
      body.writeBytes(content.content());
    }
    if (content instanceof LastHttpContent) {
      onRequestComplete();
    }
  }

  private void onRequestComplete() {
    if (listener.rejectsNewRequests()) {
      listener.counters().count(RequestCounters.Event.REJECTED_DRAINING);
      reject(503);
      return;
    }
    byte[] bytes = EMPTY_BODY;
    if (body != null) {
      bytes = body.array().length == body.readableBytes() ? body.array() : readBytes();
    }
    ReceivedRequest received =
        new ReceivedRequest(head.method().name(), head.uri(), head.headers(), bytes, arrivedAt);
    boolean keepAlive =
        HttpUtil.isKeepAlive(head) && head.protocolVersion().equals(HttpVersion.HTTP_1_1);
    ClientResponse newResponse =
        new ClientResponse(
            this,
            listener,
            channel,
            keepAlive,
            head.protocolVersion().equals(HttpVersion.HTTP_1_1),
            head.method().name().equals("HEAD"));
    response = newResponse;
    head = null;
    body = null;
    RequestHandle handle = listener.dispatcher().dispatch(received, newResponse);
    if (response == newResponse) {
      activeRequest = handle;
    }
  }

  private byte[] readBytes() {
    byte[] bytes = new byte[body.readableBytes()];
    body.readBytes(bytes);
    return bytes;
  }

  /** The answer is written: the connection ends with it, or waits for the next request. */
  void onResponseWritten(ClientResponse newResponse, boolean keepAlive) {
    if (response != newResponse) {
      return;
    }
    response = null;
    activeRequest = RequestHandle.NONE;
    releaseBody();
    idleSince = listener.timers().now();
    inRequest = false;
    if (!keepAlive) {
      closing = true;
      pipelined.releaseAll();
      return;
    }
    if (!pipelined.isEmpty() || decoder.isInsideMessage()) {
      onFirstByte();
      // Not at once: answers that come at once would nest as deep as the requests behind each
      // other.
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

  /**
   * Answers what is no request that can be taken; it has not been read whole, so it has not run.
   */
  private void reject(int status) {
    ClientResponse newResponse = new ClientResponse(this, listener, channel, false, true, false);
    newResponse.linger();
    response = newResponse;
    head = null;
    body = null;
    LocalReplies.send(newResponse, status, null, status == 503 ? 0.2 : 0);
  }

  private void releaseBody() {
    listener.releaseBodyBytes(reservedBodyBytes);
    reservedBodyBytes = 0;
  }

  /** Ends it if no request is on it, nor a part of one. */
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
    if (checkTimeouts != null) {
      checkTimeouts.cancel();
    }
    pipelined.releaseAll();
    releaseBody();
    body = null;
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

  /** A reset, or a fault of ours: either way the connection is of no more use. */
  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof java.io.IOException)) {
      listener.counters().count(RequestCounters.Event.FAULT);
    }
    close();
  }
}
