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
 * One connection of the server. Serves one request at a time; pipelined requests wait, undecoded as
 * far as they were not read yet. Confined to the event loop.
 */
final class HttpServerConnection extends ChannelInboundHandlerAdapter {

  static final long IDLE_TIMEOUT_MS = 15_000;
  static final int MAX_LINE_BYTES = 8_192;
  static final int MAX_HEADER_BYTES = 16_384;
  private static final int MAX_CHUNK_BYTES = 64 * 1024;
  private static final byte[] EMPTY_BODY = new byte[0];

  private final Timers timers;
  private final HttpHandler handler;
  private final int maxBodyBytes;

  /** Decoded parts of pipelined requests: what one read has brought beyond the current request. */
  private final ArrayDeque<Object> pipelinedParts = new ArrayDeque<>();

  private HttpRequest head;
  private ByteBuf body;
  private boolean responding;
  private boolean closing;
  private long deadline;
  private Timers.Timer idle;

  private HttpServerConnection(Timers timers, HttpHandler handler, int maxBodyBytes) {
    this.timers = timers;
    this.handler = handler;
    this.maxBodyBytes = maxBodyBytes;
  }

  static void initPipeline(Channel channel, Timers timers, HttpHandler handler, int maxBodyBytes) {
    channel
        .pipeline()
        .addLast(
            new StrictRequestDecoder(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES),
            new HttpResponseEncoder(),
            new HttpServerConnection(timers, handler, maxBodyBytes));
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    deadline = timers.now() + IDLE_TIMEOUT_MS;
    idle = timers.schedule(IDLE_TIMEOUT_MS, () -> idle(ctx));
  }

  /** The time for a request to be complete after its head, and for a connection to send one. */
  private void idle(ChannelHandlerContext ctx) {
    long left = responding ? IDLE_TIMEOUT_MS : deadline - timers.now();
    if (left <= 0) {
      ctx.close();
    } else {
      idle = timers.schedule(left, () -> idle(ctx));
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (idle != null) {
      idle.cancel();
    }
    releaseRequest();
    while (!pipelinedParts.isEmpty()) {
      ReferenceCountUtil.release(pipelinedParts.poll());
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object part) {
    if (closing) {
      ReferenceCountUtil.release(part);
    } else if (responding) {
      pipelinedParts.add(part);
    } else {
      onPart(ctx, part);
    }
  }

  private void onPart(ChannelHandlerContext ctx, Object part) {
    try {
      if (part instanceof HttpRequest request) {
        onHead(ctx, request);
      }
      if (!closing && part instanceof HttpContent content) {
        onContent(ctx, content);
      }
    } finally {
      ReferenceCountUtil.release(part);
    }
  }

  private void onHead(ChannelHandlerContext ctx, HttpRequest request) {
    if (request.decoderResult().isFailure()) {
      rejectAndClose(
          ctx,
          request.decoderResult().cause() instanceof TooLongFrameException
              ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
              : HttpResponseStatus.BAD_REQUEST);
    } else if (request.headers().getAll(HttpHeaderNames.HOST).size() > 1) {
      rejectAndClose(ctx, HttpResponseStatus.BAD_REQUEST);
    } else if (HttpUtil.getContentLength(request, 0L) > maxBodyBytes) {
      rejectAndClose(ctx, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
    } else {
      deadline = timers.now() + IDLE_TIMEOUT_MS;
      head = request;
      if (HttpUtil.is100ContinueExpected(request)) {
        ctx.writeAndFlush(
            new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
      }
    }
  }

  private void onContent(ChannelHandlerContext ctx, HttpContent content) {
    if (content.decoderResult().isFailure()) {
      rejectAndClose(ctx, HttpResponseStatus.BAD_REQUEST);
      return;
    }
    int bytes = content.content().readableBytes();
    int before = body == null ? 0 : body.readableBytes();
    if (before + bytes > maxBodyBytes) {
      rejectAndClose(ctx, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      return;
    }
    if (bytes > 0) {
      if (body == null) {
        body = Unpooled.buffer((int) Math.max(bytes, HttpUtil.getContentLength(head, 0L)));
      }
      body.writeBytes(content.content());
    }
    if (content instanceof LastHttpContent) {
      onRequestComplete(ctx);
    }
  }

  private void onRequestComplete(ChannelHandlerContext ctx) {
    boolean keep = HttpUtil.isKeepAlive(head);
    SimpleHttpRequest request;
    try {
      request = toRequest();
    } catch (IllegalArgumentException e) {
      rejectAndClose(ctx, HttpResponseStatus.BAD_REQUEST);
      return;
    }
    boolean bodiless = head.method().name().equals("HEAD");
    releaseRequest();
    responding = true;
    ctx.channel().config().setAutoRead(false);
    CompletableFuture<SimpleHttpResponse> reply;
    try {
      reply = handler.handle(request);
    } catch (RuntimeException e) {
      reply = CompletableFuture.failedFuture(e);
    }
    reply.whenComplete(
        (response, failure) -> {
          if (ctx.channel().eventLoop().inEventLoop()) {
            respond(ctx, response, failure, keep, bodiless);
          } else {
            timers.execute(() -> respond(ctx, response, failure, keep, bodiless));
          }
        });
  }

  private SimpleHttpRequest toRequest() {
    String uri = head.uri();
    QueryStringDecoder split = new QueryStringDecoder(uri);
    int mark = uri.indexOf('?');
    Map<String, String> query = new HashMap<>();
    if (mark >= 0) {
      for (Map.Entry<String, List<String>> entry : split.parameters().entrySet()) {
        query.put(entry.getKey(), entry.getValue().get(0));
      }
    }
    byte[] bytes = EMPTY_BODY;
    if (body != null) {
      bytes = new byte[body.readableBytes()];
      body.readBytes(bytes);
    }
    return new SimpleHttpRequest(
        head.method().name(),
        mark < 0 ? uri : uri.substring(0, mark),
        query,
        NettyHttpClient.toHeaderMap(head.headers()),
        bytes);
  }

  private void respond(
      ChannelHandlerContext ctx,
      SimpleHttpResponse response,
      Throwable failure,
      boolean keep,
      boolean bodiless) {
    if (!responding || !ctx.channel().isActive()) {
      return;
    }
    responding = false;
    SimpleHttpResponse sent = response;
    if (failure != null || response == null) {
      ErrorCode code = failure == null ? ErrorCode.INTERNAL : ElmsailException.codeOf(failure);
      sent = new SimpleHttpResponse(503, Map.of("elmsail-fault", code.wireName()), EMPTY_BODY);
    }
    write(ctx, sent, keep, bodiless);
    if (closing) {
      return;
    }
    deadline = timers.now() + IDLE_TIMEOUT_MS;
    while (!responding && !closing && !pipelinedParts.isEmpty()) {
      onPart(ctx, pipelinedParts.poll());
    }
    if (!responding && !closing) {
      ctx.channel().config().setAutoRead(true);
    }
  }

  /** Answers an invalid request and closes: what follows it cannot be framed. */
  private void rejectAndClose(ChannelHandlerContext ctx, HttpResponseStatus status) {
    releaseRequest();
    write(ctx, new SimpleHttpResponse(status.code(), Map.of(), EMPTY_BODY), false, false);
  }

  private void write(
      ChannelHandlerContext ctx, SimpleHttpResponse response, boolean keep, boolean bodiless) {
    FullHttpResponse out =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(response.status()),
            bodiless ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(response.body()));
    boolean kept = keep;
    for (Map.Entry<String, String> header : response.headers().entrySet()) {
      out.headers().set(header.getKey(), header.getValue());
      kept &=
          !header.getKey().equalsIgnoreCase("connection")
              || !header.getValue().equalsIgnoreCase("close");
    }
    out.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
    if (kept) {
      ctx.writeAndFlush(out);
    } else {
      closing = true;
      out.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      ctx.writeAndFlush(out).addListener(ChannelFutureListener.CLOSE);
    }
  }

  private void releaseRequest() {
    head = null;
    if (body != null) {
      body.release();
      body = null;
    }
  }

  /** A lost connection or an error of the codec: either way the connection is unusable. */
  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
