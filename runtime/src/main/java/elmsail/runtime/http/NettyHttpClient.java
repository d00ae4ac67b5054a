package elmsail.runtime.http;

import elmsail.runtime.Addresses;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.NettyEventLoop;
import elmsail.runtime.Timers;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Sends each request on a connection of its own. Confined to the event loop. */
public final class NettyHttpClient implements HttpClient {

  private static final int MAX_LINE_BYTES = 4_096;
  private static final int MAX_HEADER_BYTES = 16_384;
  private static final int MAX_CHUNK_BYTES = 64 * 1024;

  /** A page of the platform's list is some tens of kilobytes. */
  private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

  private final NettyEventLoop loop;

  /** A client whose connections all run on that event loop. */
  public NettyHttpClient(NettyEventLoop loop) {
    this.loop = loop;
  }

  @Override
  public CompletableFuture<SimpleHttpResponse> send(
      String address, HttpClientRequest request, long timeoutMs) {
    PendingRequest asked = new PendingRequest(address, request);
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop.eventLoop())
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    asked.initPipeline(channel);
                  }
                })
            .connect(Addresses.parse(address));
    connecting.addListener(
        done -> {
          if (!done.isSuccess()) {
            asked.fail(ErrorCode.NOT_SENT, "no connection");
          }
        });
    Timers.Timer limit = loop.schedule(timeoutMs, asked::onTimeout);
    asked.response.whenComplete(
        (response, failure) -> {
          limit.cancel();
          connecting.cancel(false);
          connecting.channel().close();
        });
    return asked.response;
  }

  static Map<String, String> toHeaderMap(HttpHeaders headers) {
    Map<String, String> copy = new HashMap<>();
    Iterator<Map.Entry<String, String>> each = headers.iteratorAsString();
    while (each.hasNext()) {
      Map.Entry<String, String> header = each.next();
      String name = header.getKey().toLowerCase(Locale.ROOT);
      String before = copy.get(name);
      copy.put(name, before == null ? header.getValue() : before + ", " + header.getValue());
    }
    return copy;
  }

  /** One request in flight. */
  static final class PendingRequest extends ChannelInboundHandlerAdapter {
    final CompletableFuture<SimpleHttpResponse> response = new CompletableFuture<>();
    private final String address;
    private final HttpClientRequest request;
    private boolean sent;
    private HttpResponse head;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;

    PendingRequest(String address, HttpClientRequest request) {
      this.address = address;
      this.request = request;
    }

    void initPipeline(Channel channel) {
      channel
          .pipeline()
          .addLast(
              new StrictResponseDecoder(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES), this);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      sent = true;
      ByteBuf head = ByteBufUtil.writeAscii(ctx.alloc(), request.formatHead(address));
      ctx.writeAndFlush(Unpooled.wrappedBuffer(head, Unpooled.wrappedBuffer(request.body())));
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object part) {
      try {
        if (!response.isDone()) {
          onPart(part);
        }
      } finally {
        ReferenceCountUtil.release(part);
      }
    }

    private void onPart(Object part) {
      if (part instanceof HttpResponse response) {
        if (response.decoderResult().isFailure()) {
          fail(ErrorCode.MALFORMED, "no answer in the protocol");
          return;
        }
        head = response;
      }
      if (part instanceof HttpContent content) {
        if (content.decoderResult().isFailure()) {
          fail(ErrorCode.MALFORMED, "no body in the protocol");
          return;
        }
        if (body.readableBytes() + content.content().readableBytes() > MAX_BODY_BYTES) {
          fail(ErrorCode.MALFORMED, "too long a body");
          return;
        }
        appendBody(content.content());
        if (content instanceof LastHttpContent && head.status().code() >= 200) {
          byte[] bytes = new byte[body.readableBytes()];
          body.readBytes(bytes);
          this.response.complete(
              new SimpleHttpResponse(head.status().code(), toHeaderMap(head.headers()), bytes));
        }
      }
    }

    private void appendBody(ByteBuf piece) {
      if (piece.isReadable()) {
        if (body == Unpooled.EMPTY_BUFFER) {
          body = Unpooled.buffer(piece.readableBytes());
        }
        body.writeBytes(piece);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      fail(ErrorCode.CONNECTION_LOST, "closed before its answer was whole");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      fail(ErrorCode.CONNECTION_LOST, "broke: " + cause);
    }

    void onTimeout() {
      fail(sent ? ErrorCode.TIMEOUT : ErrorCode.NOT_SENT, "no answer in time");
    }

    void fail(ErrorCode code, String detail) {
      if (!response.isDone()) {
        response.completeExceptionally(new ElmsailException(code, detail + ": " + address));
      }
    }
  }
}
