package willowdoor.lab.peers;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;
import willowdoor.lab.net.OwnLoop;

/** What the stand-ins' listeners and answers have in common. */
final class Sockets {

  private Sockets() {}

  /** Listens at the address; each connection gets the handlers that are made for it. */
  static Channel listen(OwnLoop own, InetSocketAddress address, Supplier<ChannelHandler[]> handlers)
      throws IOException {
    ChannelFuture bind =
        new ServerBootstrap()
            .group(own.loop())
            .channel(EpollServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, 1_024)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    own.keep(channel).pipeline().addLast(handlers.get());
                  }
                })
            .bind(address)
            .awaitUninterruptibly();
    if (!bind.isSuccess()) {
      throw new IOException("cannot listen at " + address, bind.cause());
    }
    return own.keep(bind.channel());
  }

  static FullHttpResponse answer(HttpResponseStatus status, String body) {
    FullHttpResponse answer =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.ISO_8859_1));
    answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes());
    return answer;
  }

  /** Ends a connection as the death of its machine's process does. */
  static void reset(Channel channel) {
    if (channel.isOpen()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    }
    channel.close();
  }
}
