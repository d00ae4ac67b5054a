package elmsail.gateway.frontend;

import elmsail.config.RoutingConfig.ClientLimits;
import elmsail.gateway.http.RequestCounters;
import elmsail.gateway.requests.Replies;
import elmsail.gateway.requests.RequestHandle;
import elmsail.gateway.requests.RequestLine;
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
  private static final int MOST_LINE = 8_192;
  private static final int MOST_PIECE = 32 * 1024;
  private static final byte[] NOTHING = new byte[0];

  /** A body may take as long as a head, and for each such piece a second more. */
  private static final int BYTES_PER_SECOND = 64 * 1024;

  /** A connection is closed so much later than its client was told. */
  private static final long TOLD_EARLIER_MS = 1_000;

  private static final long LEAST_LOOK_MS = 50;

  private final ClientListener front;
  private final ClientLimits limits;
  private final StrictRequestDecoder decoder;
  private final WaitingParts behind = new WaitingParts();
  private Channel channel;
  private HttpRequest head;
  private ByteBuf body;
  private int keptBytes;
  private ClientResponse answer;
  private RequestHandle taken = RequestHandle.NONE;
  private long arrivedMs;
  private long idleSince;
  private boolean inRequest;
  private boolean closing;
  private Timer look;

  ClientConnection(ClientListener front) {
    super(false);
    this.front = front;
    limits = front.limits();
    decoder = new StrictRequestDecoder(MOST_LINE, limits.maxHeaderBytes(), MOST_PIECE);
  }

  void into(ChannelPipeline pipeline) {
    channel = pipeline.channel();
    pipeline.addLast(
        new ChannelInboundHandlerAdapter() {
          @Override
          public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            arrived();
            ctx.fireChannelRead(bytes);
          }
        },
        decoder,
        new HttpResponseEncoder(),
        this);
  }

  private void arrived() {
    if (!inRequest) {
      inRequest = true;
      arrivedMs = front.timers().now();
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    idleSince = front.timers().now();
    look = front.timers().schedule(limits.headerTimeoutMs(), this::look);
    ctx.fireChannelActive();
  }

  /** Ends the connection of a client that is too slow, or sends nothing for long. */
  private void look() {
    if (closing) {
      return;
    }
    long now = front.timers().now();
    long left = limits.headerTimeoutMs();
    if (answer == null && inRequest && behind.isEmpty()) {
      int bytes = body == null ? 0 : body.readableBytes();
      left =
          arrivedMs
              + limits.headerTimeoutMs()
              + bytes * 1_000L / BYTES_PER_SECOND
              + (head == null ? 0 : limits.headerTimeoutMs())
              - now;
      if (left <= 0) {
        front.counters().count(RequestCounters.Event.CLIENT_SLOW);
        refuse(408);
        return;
      }
    } else if (answer == null && !inRequest) {
      left = idleSince + limits.idleTimeoutMs() + TOLD_EARLIER_MS - now;
      if (left <= 0) {
        close();
        return;
      }
    }
    // A head may begin to come right behind this look.
    look =
        front.timers().schedule(Math.max(LEAST_LOOK_MS, Math.min(left, limits.headerTimeoutMs())), this::look);
  }

  /** Whole seconds that the client is told it may leave the connection idle. */
  long toldSeconds() {
    return Math.max(1, limits.idleTimeoutMs() / 1_000 - 1);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
    if (closing) {
      ReferenceCountUtil.release(part);
    } else if (answer != null) {
      behind.add(part, front.timers().now());
      if (behind.full()) {
        channel.config().setAutoRead(false);
      }
    } else {
      take(part);
    }
  }

  private void take(HttpObject part) {
    try {
      if (part.decoderResult().isFailure()) {
        front.counters().count(RequestCounters.Event.BAD_REQUEST);
        refuse(part.decoderResult().cause() instanceof TooLongFrameException ? 431 : 400);
        return;
      }
      if (part instanceof HttpRequest request) {
        begin(request);
      }
      if (!closing && part instanceof HttpContent piece) {
        more(piece);
      }
    } finally {
      ReferenceCountUtil.release(part);
    }
  }

  private void begin(HttpRequest request) {
    head = request;
    if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes()) {
      front.counters().count(RequestCounters.Event.TOO_LARGE);
      refuse(413);
    } else if (HttpUtil.is100ContinueExpected(request)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  private void more(HttpContent piece) {
    int bytes = piece.content().readableBytes();
    int before = body == null ? 0 : body.readableBytes();
    if (before + bytes > limits.maxBodyBytes()) {
      front.counters().count(RequestCounters.Event.TOO_LARGE);
      refuse(413);
      return;
    }
    if (bytes > 0) {
      if (!front.takesBody(bytes)) {
        front.counters().count(RequestCounters.Event.REFUSED_NO_SERVER);
        refuse(503);
        return;
      }
      keptBytes += bytes;
      if (body == null) {
        body = Unpooled.buffer((int) Math.max(bytes, HttpUtil.getContentLength(head, 0L)));
      }
      body.writeBytes(piece.content());
    }
    if (piece instanceof LastHttpContent) {
      whole();
    }
  }

  private void whole() {
    if (front.closedToNew()) {
      front.counters().count(RequestCounters.Event.REFUSED_ENDING);
      refuse(503);
      return;
    }
    byte[] bytes = NOTHING;
    if (body != null) {
      bytes = body.array().length == body.readableBytes() ? body.array() : readBytes();
    }
    RequestLine asked =
        new RequestLine(head.method().name(), head.uri(), head.headers(), bytes, arrivedMs);
    boolean keep =
        HttpUtil.isKeepAlive(head) && head.protocolVersion().equals(HttpVersion.HTTP_1_1);
    ClientResponse one =
        new ClientResponse(
            this,
            front,
            channel,
            keep,
            head.protocolVersion().equals(HttpVersion.HTTP_1_1),
            head.method().name().equals("HEAD"));
    answer = one;
    head = null;
    body = null;
    RequestHandle begun = front.desk().take(asked, one);
    if (answer == one) {
      taken = begun;
    }
  }

  private byte[] readBytes() {
    byte[] bytes = new byte[body.readableBytes()];
    body.readBytes(bytes);
    return bytes;
  }

  /** The answer is written: the connection ends with it, or waits for the next request. */
  void answered(ClientResponse one, boolean kept) {
    if (answer != one) {
      return;
    }
    answer = null;
    taken = RequestHandle.NONE;
    freeBody();
    idleSince = front.timers().now();
    inRequest = false;
    if (!kept) {
      closing = true;
      behind.release();
      return;
    }
    if (!behind.isEmpty() || decoder.isInsideMessage()) {
      arrived();
      // Not at once: answers that come at once would nest as deep as the requests behind each
      // other.
      channel.eventLoop().execute(this::takeBehind);
    }
  }

  private void takeBehind() {
    while (answer == null && !closing && !behind.isEmpty()) {
      WaitingParts.Part next = behind.poll();
      if (next.part() instanceof HttpRequest) {
        arrivedMs = next.arrivedMs();
      }
      take(next.part());
    }
    if (!behind.full()) {
      channel.config().setAutoRead(true);
    }
  }

  /**
   * Answers what is no request that can be taken; it has not been read whole, so it has not run.
   */
  private void refuse(int status) {
    ClientResponse one = new ClientResponse(this, front, channel, false, true, false);
    one.linger();
    answer = one;
    head = null;
    body = null;
    Replies.own(one, status, null, status == 503 ? 0.2 : 0);
  }

  private void freeBody() {
    front.gaveBody(keptBytes);
    keptBytes = 0;
  }

  /** Ends it if no request is on it, nor a part of one. */
  void closeIfIdle() {
    if (answer == null && !decoder.isInsideMessage()) {
      close();
    }
  }

  void close() {
    closing = true;
    channel.close();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    taken.writable(channel.isWritable());
    ctx.fireChannelWritabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    closing = true;
    if (look != null) {
      look.cancel();
    }
    behind.release();
    freeBody();
    body = null;
    RequestHandle leaving = taken;
    taken = RequestHandle.NONE;
    if (answer != null) {
      answer.gone();
      answer = null;
    }
    leaving.left();
    front.closed(this);
    ctx.fireChannelInactive();
  }

  /** A reset, or a fault of ours: either way the connection is of no more use. */
  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof java.io.IOException)) {
      front.counters().count(RequestCounters.Event.FAULT);
    }
    close();
  }
}
