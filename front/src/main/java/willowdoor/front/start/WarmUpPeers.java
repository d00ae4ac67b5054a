package willowdoor.front.start;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalServerChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import java.util.function.Supplier;

/**
 * The peers of a gateway during its warm-up: one template server that responds at once, a counter,
 * and clients, on in-process channels. They open no socket, and no data leaves the process.
 */
final class WarmUpPeers {

  private static final int MOST_LINE = 256;
  private static final int MOST_BODY = 64 * 1024;
  private static final int CLIENTS = 3;

  /** Stands for a rendered template: long enough to be copied in pieces. */
  private static final byte[] ANSWER = new byte[2_000];

  private final EventLoopGroup group;
  private final Map<String, Double> totals = new HashMap<>();
  private final SocketAddress server;
  private final SocketAddress counter;

  /** Creates the peers on an event loop for in-process channels; they end with the loop. */
  public WarmUpPeers(EventLoopGroup group) throws InterruptedException {
    this.group = group;
    server =
        listen(
            () ->
                new ChannelHandler[] {
                  new HttpServerCodec(), new HttpObjectAggregator(MOST_BODY), new TemplateServer()
                });
    counter =
        listen(() -> new ChannelHandler[] {new LineBasedFrameDecoder(MOST_LINE), new Counter()});
  }

  /** The address of the template server. */
  public SocketAddress server() {
    return server;
  }

  public SocketAddress counter() {
    return counter;
  }

  private SocketAddress listen(Supplier<ChannelHandler[]> handlers) throws InterruptedException {
    return new ServerBootstrap()
        .group(group)
        .channel(LocalServerChannel.class)
        .childHandler(piped(handlers))
        .bind(new LocalAddress(WarmUpPeers.class))
        .sync()
        .channel()
        .localAddress();
  }

  private static ChannelInitializer<Channel> piped(Supplier<ChannelHandler[]> handlers) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel channel) {
        channel.pipeline().addLast(handlers.get());
      }
    };
  }

  /**
   * Sends requests to a gateway from a few clients. Each client sends its next request once it has
   * received the previous response.
   *
   * @param request returns the n-th request, from 0, as its text on the connection
   * @param limitMs the time limit for all responses, in milliseconds
   * @return the number of requests answered, with any status
   */
  public int play(SocketAddress door, IntFunction<String> request, int requests, long limitMs)
      throws InterruptedException {
    AtomicInteger next = new AtomicInteger();
    AtomicInteger answered = new AtomicInteger();
    CountDownLatch left = new CountDownLatch(requests);
    for (int i = 0; i < CLIENTS; i++) {
      new Bootstrap()
          .group(group)
          .channel(LocalChannel.class)
          .handler(
              piped(
                  () ->
                      new ChannelHandler[] {
                        new HttpResponseDecoder(),
                        new HttpObjectAggregator(MOST_BODY),
                        new Client(
                            () ->
                                next.get() < requests
                                    ? request.apply(next.getAndIncrement())
                                    : null,
                            () -> {
                              answered.incrementAndGet();
                              left.countDown();
                            })
                      }))
          .connect(door);
    }
    left.await(limitMs, TimeUnit.MILLISECONDS);
    next.set(requests);
    return answered.get();
  }

  private static final class TemplateServer extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      FullHttpResponse answer =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(ANSWER));
      answer
          .headers()
          .set(HttpHeaderNames.CONTENT_LENGTH, ANSWER.length)
          .set(HttpHeaderNames.CONTENT_TYPE, "text/html")
          .set("X-Units-Charged", "1");
      ctx.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }
  }

  /** Keeps the totals by name in memory. */
  private final class Counter extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
      String[] words = line.toString(StandardCharsets.US_ASCII).split(" ");
      String answer =
          words.length < 3
              ? "pong"
              : "ok " + totals.merge(words[1], Double.parseDouble(words[2]), Double::sum);
      ByteBuf bytes = ByteBufUtil.writeAscii(ctx.alloc(), answer + "\r\n");
      ctx.writeAndFlush(bytes).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }
  }

  private static final class Client extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final Supplier<String> next;
    private final Runnable answered;

    Client(Supplier<String> next, Runnable answered) {
      this.next = next;
      this.answered = answered;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      send(ctx);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
      answered.run();
      send(ctx);
    }

    private void send(ChannelHandlerContext ctx) {
      String request = next.get();
      if (request == null) {
        ctx.close();
      } else {
        ctx.writeAndFlush(ByteBufUtil.writeUtf8(ctx.alloc(), request));
      }
    }
  }
}
