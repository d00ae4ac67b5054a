package willowdoor.lab.fleet;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** One HTTP call on a connection of its own, as operators make them. */
public final class OneCall {

  private static final int MOST_ANSWER = 4 << 20;

  /** Status 0 means that no answer came whole in time. */
  public record Answer(int status, String body) {
    private static final Answer NONE = new Answer(0, "");
  }

  private OneCall() {}

  public static CompletableFuture<Answer> send(
      EventLoopGroup group,
      InetSocketAddress to,
      String method,
      String path,
      String body,
      long limitMs) {
    CompletableFuture<Answer> result = new CompletableFuture<>();
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    DefaultFullHttpRequest call =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), path, Unpooled.wrappedBuffer(bytes));
    call.headers()
        .set(HttpHeaderNames.HOST, Loopback.text(to))
        .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        .set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
    ChannelFuture connect =
        new Bootstrap()
            .group(group)
            .channel(EpollSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) limitMs)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel made) {
                    made.pipeline()
                        .addLast(
                            new HttpClientCodec(),
                            new HttpObjectAggregator(MOST_ANSWER),
                            new Reader(result));
                  }
                })
            .connect(to);
    Channel channel = connect.channel();
    connect.addListener(
        f -> {
          if (f.isSuccess()) {
            channel.writeAndFlush(call);
          } else {
            call.release();
            result.complete(Answer.NONE);
          }
        });
    group.schedule(
        () -> {
          result.complete(Answer.NONE);
          channel.close();
        },
        limitMs,
        TimeUnit.MILLISECONDS);
    channel.closeFuture().addListener(f -> result.complete(Answer.NONE));
    return result;
  }

  private static final class Reader extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final CompletableFuture<Answer> result;

    Reader(CompletableFuture<Answer> result) {
      this.result = result;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
      if (answer.decoderResult().isSuccess()) {
        result.complete(
            new Answer(answer.status().code(), answer.content().toString(StandardCharsets.UTF_8)));
      }
      ctx.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
