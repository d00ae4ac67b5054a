package elmsail.runtime.http;

import elmsail.runtime.AddressUnavailableException;
import elmsail.runtime.Addresses;
import elmsail.runtime.ListenAddress;
import elmsail.runtime.NettyEventLoop;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/**
 * An HTTP server for small requests that fit in memory: those of operators and of the platform.
 * Framing is checked strictly; bodies, heads and the number of connections are bounded; idle
 * connections are closed. Confined to the event loop.
 */
public final class HttpServer {

  static final int MAX_CONNECTIONS = 256;
  private static final int LISTEN_BACKLOG = 512;

  private final NettyEventLoop loop;
  private final HttpHandler handler;
  private final int maxBodyBytes;
  private Channel listener;
  private int openConnections;
  private long rejectedConnections;

  private HttpServer(NettyEventLoop loop, HttpHandler handler, int maxBodyBytes) {
    this.loop = loop;
    this.handler = handler;
    this.maxBodyBytes = maxBodyBytes;
  }

  /**
   * Binds an address; may be called from any thread.
   *
   * @param address ip:port; port 0 for a free one
   * @param maxBodyBytes a request with a larger body is answered with 413
   * @return completes on the event loop once the address is bound; fails with {@link
   *     AddressUnavailableException} if it cannot be bound
   */
  public static CompletableFuture<HttpServer> listen(
      NettyEventLoop loop, String address, HttpHandler handler, int maxBodyBytes) {
    HttpServer serving = new HttpServer(loop, handler, maxBodyBytes);
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop.eventLoop())
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(serving.new ConnectionInitializer());
    return ListenAddress.bind(bootstrap, address)
        .thenApply(
            listener -> {
              serving.listener = listener;
              return serving;
            });
  }

  /** The address that it listens on, ip:port. */
  public String address() {
    return Addresses.format((InetSocketAddress) listener.localAddress());
  }

  /** The number of open connections. */
  public int openConnections() {
    return openConnections;
  }

  /** The number of connections that were closed at once because the limit was reached. */
  public long rejectedConnections() {
    return rejectedConnections;
  }

  /** Stops accepting connections; open ones continue. */
  public void close() {
    listener.close();
  }

  private final class ConnectionInitializer extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      if (openConnections >= MAX_CONNECTIONS) {
        rejectedConnections++;
        channel.close();
        return;
      }
      openConnections++;
      channel.closeFuture().addListener(closed -> openConnections--);
      HttpServerConnection.initPipeline(channel, loop, handler, maxBodyBytes);
    }
  }
}
