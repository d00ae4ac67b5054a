package elmsail.runtime.http;

import elmsail.runtime.Addresses;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.NettyLoop;
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

/** Small calls, each on a connection of its own that is closed afterwards. On the loop. */
public final class NettyHttpClient implements HttpClient {

  private static final int MOST_LINE = 4_096;
  private static final int MOST_HEAD = 16_384;
  private static final int MOST_PIECE = 64 * 1024;

  /** A page of the platform's list is some tens of kilobytes. */
  private static final int MOST_BODY = 8 * 1024 * 1024;

  private final NettyLoop loop;

  /** A client whose connections all run on that loop. */
  public NettyHttpClient(NettyLoop loop) {
    this.loop = loop;
  }

  @Override
  public CompletableFuture<HttpReply> get(String address, String pathAndQuery, long timeoutMs) {
    Asked asked = new Asked(address, pathAndQuery);
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop.events())
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    asked.pipeline(channel);
                  }
                })
            .connect(Addresses.of(address));
    connecting.addListener(
        done -> {
          if (!done.isSuccess()) {
            asked.fail(ErrorCode.UNSENT, "no connection");
          }
        });
    Timers.Timer limit = loop.after(timeoutMs, asked::late);
    asked.reply.whenComplete(
        (reply, failure) -> {
          limit.cancel();
          connecting.cancel(false);
          connecting.channel().close();
        });
    return asked.reply;
  }

  static Map<String, String> headers(HttpHeaders headers) {
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

  /** One call under way. */
  static final class Asked extends ChannelInboundHandlerAdapter {
    final CompletableFuture<HttpReply> reply = new CompletableFuture<>();
    private final String address;
    private final String request;
    private boolean sent;
    private HttpResponse head;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;

    Asked(String address, String pathAndQuery) {
      this.address = address;
      for (int i = 0; i < pathAndQuery.length(); i++) {
        char letter = pathAndQuery.charAt(i);
        if (letter <= ' ' || letter > '~') {
          throw new ElmsailException(ErrorCode.BAD_CALL, "not a path: " + pathAndQuery);
        }
      }
      request =
          "GET " + pathAndQuery + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\n\r\n";
    }

    void pipeline(Channel channel) {
      channel.pipeline().addLast(new StrictAnswerDecoder(MOST_LINE, MOST_HEAD, MOST_PIECE), this);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      sent = true;
      ctx.writeAndFlush(ByteBufUtil.writeAscii(ctx.alloc(), request));
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object part) {
      try {
        if (!reply.isDone()) {
          take(part);
        }
      } finally {
        ReferenceCountUtil.release(part);
      }
    }

    private void take(Object part) {
      if (part instanceof HttpResponse response) {
        if (response.decoderResult().isFailure()) {
          fail(ErrorCode.GARBLED, "no answer in the protocol");
          return;
        }
        head = response;
      }
      if (part instanceof HttpContent content) {
        if (content.decoderResult().isFailure()) {
          fail(ErrorCode.GARBLED, "no body in the protocol");
          return;
        }
        if (body.readableBytes() + content.content().readableBytes() > MOST_BODY) {
          fail(ErrorCode.GARBLED, "too long a body");
          return;
        }
        keep(content.content());
        if (content instanceof LastHttpContent && head.status().code() >= 200) {
          byte[] bytes = new byte[body.readableBytes()];
          body.readBytes(bytes);
          reply.complete(new HttpReply(head.status().code(), headers(head.headers()), bytes));
        }
      }
    }

    private void keep(ByteBuf piece) {
      if (piece.isReadable()) {
        if (body == Unpooled.EMPTY_BUFFER) {
          body = Unpooled.buffer(piece.readableBytes());
        }
        body.writeBytes(piece);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      fail(ErrorCode.BROKEN, "closed before its answer was whole");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      fail(ErrorCode.BROKEN, "broke: " + cause);
    }

    void late() {
      fail(sent ? ErrorCode.SILENT : ErrorCode.UNSENT, "no answer in time");
    }

    void fail(ErrorCode code, String detail) {
      if (!reply.isDone()) {
        reply.completeExceptionally(new ElmsailException(code, detail + ": " + address));
      }
    }
  }
}
