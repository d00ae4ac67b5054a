package elmsail.runtime.http;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Timers;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * One connection: a call at a time, those behind it wait undecoded as far as they were not read
 * yet. On the loop.
 */
final class HttpServerConnection extends ChannelInboundHandlerAdapter {

  static final long IDLE_MS = 15_000;
  static final int MOST_LINE = 8_192;
  static final int MOST_HEAD = 16_384;
  private static final int MOST_PIECE = 64 * 1024;
  private static final byte[] NOTHING = new byte[0];

  private final Timers timers;
  private final HttpHandler handler;
  private final int mostBody;

  /** Parts of the messages behind the one being answered: of what one read has brought. */
  private final ArrayDeque<Object> waiting = new ArrayDeque<>();

  private HttpRequest head;
  private ByteBuf body;
  private boolean answering;
  private boolean closing;
  private long limit;
  private Timers.Timer idle;

  private HttpServerConnection(Timers timers, HttpHandler handler, int mostBody) {
    this.timers = timers;
    this.handler = handler;
    this.mostBody = mostBody;
  }

  static void pipeline(Channel channel, Timers timers, HttpHandler handler, int mostBody) {
    channel
        .pipeline()
        .addLast(
            new StrictRequestDecoder(MOST_LINE, MOST_HEAD, MOST_PIECE),
            new HttpResponseEncoder(),
            new HttpServerConnection(timers, handler, mostBody));
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    limit = timers.now() + IDLE_MS;
    idle = timers.after(IDLE_MS, () -> idle(ctx));
  }

  /** A call has so long to come whole from its head on, and a connection so long to bring one. */
  private void idle(ChannelHandlerContext ctx) {
    long left = answering ? IDLE_MS : limit - timers.now();
    if (left <= 0) {
      ctx.close();
    } else {
      idle = timers.after(left, () -> idle(ctx));
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (idle != null) {
      idle.cancel();
    }
    forget();
    while (!waiting.isEmpty()) {
      ReferenceCountUtil.release(waiting.poll());
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object part) {
    if (closing) {
      ReferenceCountUtil.release(part);
    } else if (answering) {
      waiting.add(part);
    } else {
      take(ctx, part);
    }
  }

  private void take(ChannelHandlerContext ctx, Object part) {
    try {
      if (part instanceof HttpRequest request) {
        begin(ctx, request);
      }
      if (!closing && part instanceof HttpContent content) {
        more(ctx, content);
      }
    } finally {
      ReferenceCountUtil.release(part);
    }
  }

  private void begin(ChannelHandlerContext ctx, HttpRequest request) {
    if (request.decoderResult().isFailure()) {
      refuse(
          ctx,
          request.decoderResult().cause() instanceof TooLongFrameException
              ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
              : HttpResponseStatus.BAD_REQUEST);
    } else if (request.headers().getAll(HttpHeaderNames.HOST).size() > 1) {
      refuse(ctx, HttpResponseStatus.BAD_REQUEST);
    } else if (HttpUtil.getContentLength(request, 0L) > mostBody) {
      refuse(ctx, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
    } else {
      limit = timers.now() + IDLE_MS;
      head = request;
      if (HttpUtil.is100ContinueExpected(request)) {
        ctx.writeAndFlush(
            new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
      }
    }
  }

  private void more(ChannelHandlerContext ctx, HttpContent content) {
    if (content.decoderResult().isFailure()) {
      refuse(ctx, HttpResponseStatus.BAD_REQUEST);
      return;
    }
    int bytes = content.content().readableBytes();
    int before = body == null ? 0 : body.readableBytes();
    if (before + bytes > mostBody) {
      refuse(ctx, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      return;
    }
    if (bytes > 0) {
      if (body == null) {
        body = Unpooled.buffer((int) Math.max(bytes, HttpUtil.getContentLength(head, 0L)));
      }
      body.writeBytes(content.content());
    }
    if (content instanceof LastHttpContent) {
      whole(ctx);
    }
  }

  private void whole(ChannelHandlerContext ctx) {
    boolean keep = HttpUtil.isKeepAlive(head);
    HttpCall call;
    try {
      call = call();
    } catch (IllegalArgumentException e) {
      refuse(ctx, HttpResponseStatus.BAD_REQUEST);
      return;
    }
    boolean bodiless = head.method().name().equals("HEAD");
    forget();
    answering = true;
    ctx.channel().config().setAutoRead(false);
    CompletableFuture<HttpReply> reply;
    try {
      reply = handler.handle(call);
    } catch (RuntimeException e) {
      reply = CompletableFuture.failedFuture(e);
    }
    reply.whenComplete(
        (answer, failure) -> {
          if (ctx.channel().eventLoop().inEventLoop()) {
            answer(ctx, answer, failure, keep, bodiless);
          } else {
            timers.soon(() -> answer(ctx, answer, failure, keep, bodiless));
          }
        });
  }

  private HttpCall call() {
    String uri = head.uri();
    QueryStringDecoder split = new QueryStringDecoder(uri);
    int mark = uri.indexOf('?');
    Map<String, String> query = new HashMap<>();
    if (mark >= 0) {
      for (Map.Entry<String, List<String>> entry : split.parameters().entrySet()) {
        query.put(entry.getKey(), entry.getValue().get(0));
      }
    }
    byte[] bytes = NOTHING;
    if (body != null) {
      bytes = new byte[body.readableBytes()];
      body.readBytes(bytes);
    }
    return new HttpCall(
        head.method().name(),
        mark < 0 ? uri : uri.substring(0, mark),
        query,
        NettyHttpClient.headers(head.headers()),
        bytes);
  }

  private void answer(
      ChannelHandlerContext ctx,
      HttpReply answer,
      Throwable failure,
      boolean keep,
      boolean bodiless) {
    if (!answering || !ctx.channel().isActive()) {
      return;
    }
    answering = false;
    HttpReply sent = answer;
    if (failure != null || answer == null) {
      ErrorCode code = failure == null ? ErrorCode.FAULT : ElmsailException.codeOf(failure);
      sent = new HttpReply(503, Map.of("elmsail-fault", code.wireName()), NOTHING);
    }
    write(ctx, sent, keep, bodiless);
    if (closing) {
      return;
    }
    limit = timers.now() + IDLE_MS;
    while (!answering && !closing && !waiting.isEmpty()) {
      take(ctx, waiting.poll());
    }
    if (!answering && !closing) {
      ctx.channel().config().setAutoRead(true);
    }
  }

  /** Answers what is no call, and closes: nothing behind it can be told apart. */
  private void refuse(ChannelHandlerContext ctx, HttpResponseStatus status) {
    forget();
    write(ctx, new HttpReply(status.code(), Map.of(), NOTHING), false, false);
  }

  private void write(ChannelHandlerContext ctx, HttpReply reply, boolean keep, boolean bodiless) {
    FullHttpResponse out =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(reply.status()),
            bodiless ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(reply.body()));
    boolean kept = keep;
    for (Map.Entry<String, String> header : reply.headers().entrySet()) {
      out.headers().set(header.getKey(), header.getValue());
      kept &=
          !header.getKey().equalsIgnoreCase("connection")
              || !header.getValue().equalsIgnoreCase("close");
    }
    out.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
    if (kept) {
      ctx.writeAndFlush(out);
    } else {
      closing = true;
      out.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      ctx.writeAndFlush(out).addListener(ChannelFutureListener.CLOSE);
    }
  }

  private void forget() {
    head = null;
    if (body != null) {
      body.release();
      body = null;
    }
  }

  /** A connection that broke, or a codec's own refusal: either way it is of no more use. */
  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
