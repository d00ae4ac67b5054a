package elmsail.runtime.http;

import elmsail.runtime.Addresses;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.NettyLoop;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/**
 * An address for small calls, whole in memory: operators' and the platform's. HttpFraming is
 * strict; bodies, heads and connections are bounded; those that idle are closed. All on the loop.
 */
public final class HttpServer {

  static final int MOST_CONNECTIONS = 256;
  private static final int BACKLOG = 512;

  private final NettyLoop loop;
  private final HttpHandler handler;
  private final int mostBody;
  private Channel listening;
  private int open;
  private long turnedAway;

  private HttpServer(NettyLoop loop, HttpHandler handler, int mostBody) {
    this.loop = loop;
    this.handler = handler;
    this.mostBody = mostBody;
  }

  /**
   * Completes on the loop once the address is bound; may be called from any thread.
   *
   * @param address ip:port; port 0 for a free one
   * @param mostBodyBytes beyond which a call is answered 413
   * @return fails with BAD_SETTINGS if the address cannot be bound
   */
  public static CompletableFuture<HttpServer> listen(
      NettyLoop loop, String address, HttpHandler handler, int mostBodyBytes) {
    HttpServer serving = new HttpServer(loop, handler, mostBodyBytes);
    CompletableFuture<HttpServer> bound = new CompletableFuture<>();
    ChannelFuture binding =
        new ServerBootstrap()
            .group(loop.events())
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(serving.new Opening())
            .bind(Addresses.of(address));
    binding.addListener(
        done -> {
          if (done.isSuccess()) {
            serving.listening = binding.channel();
            bound.complete(serving);
          } else {
            bound.completeExceptionally(
                new ElmsailException(
                    ErrorCode.BAD_SETTINGS, "cannot listen on " + address, done.cause()));
          }
        });
    return bound;
  }

  /** Where it listens, ip:port. */
  public String address() {
    InetSocketAddress local = (InetSocketAddress) listening.localAddress();
    return local.getAddress().getHostAddress() + ":" + local.getPort();
  }

  /** How many connections are open. */
  public int connections() {
    return open;
  }

  /** How many connections were closed at once, as there were too many. */
  public long turnedAway() {
    return turnedAway;
  }

  /** Takes no new connections; those that are open go on. */
  public void close() {
    listening.close();
  }

  private final class Opening extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      if (open >= MOST_CONNECTIONS) {
        turnedAway++;
        channel.close();
        return;
      }
      open++;
      channel.closeFuture().addListener(closed -> open--);
      HttpServerConnection.pipeline(channel, loop, handler, mostBody);
    }
  }
}
