package willowdoor.front.loop;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannel;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalIoHandler;
import io.netty.channel.local.LocalServerChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.util.function.Consumer;

/**
 * The socket implementation of the event loop: native epoll, which took a quarter less CPU under
 * calm load, or NIO where the native library cannot be loaded.
 */
public record Transport(
    IoHandlerFactory ioHandler,
    Class<? extends Channel> socket,
    Class<? extends ServerChannel> serverSocket,
    boolean tcp) {

  public static final Transport BEST =
      Epoll.isAvailable()
          ? new Transport(
              EpollIoHandler.newFactory(),
              EpollSocketChannel.class,
              EpollServerSocketChannel.class,
              true)
          : new Transport(
              NioIoHandler.newFactory(),
              NioSocketChannel.class,
              NioServerSocketChannel.class,
              true);

  /** In-process channels for the warm-up: no socket is opened. */
  public static final Transport IN_PROCESS =
      new Transport(
          LocalIoHandler.newFactory(), LocalChannel.class, LocalServerChannel.class, false);

  private static final int BACKLOG = 512;

  /**
   * Limits of the bytes queued for writing to a peer: above the limit, no more data is read for
   * that peer.
   */
  public static final WriteBufferWaterMark WRITE_BUFFER_LIMITS =
      new WriteBufferWaterMark(8 * 1024, 16 * 1024);

  /** Bootstrap for outbound connections, with TCP_NODELAY: written data is sent at once. */
  public Bootstrap client(EventLoop loop) {
    Bootstrap client = new Bootstrap().group(loop).channel(socket);
    return tcp ? client.option(ChannelOption.TCP_NODELAY, true) : client;
  }

  /** Bootstrap for inbound connections, likewise with TCP_NODELAY. */
  public ServerBootstrap server(EventLoopGroup group) {
    ServerBootstrap server = new ServerBootstrap().group(group);
    return !tcp
        ? server
        : server
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true);
  }

  /** Allocates read buffers of at most 32 KiB. */
  public static RecvByteBufAllocator readBufferAllocator() {
    return new AdaptiveRecvByteBufAllocator(512, 2_048, 32 * 1024);
  }

  /**
   * Opens a channel on the listening socket that the process inherited as this descriptor. A
   * blocking socket would block the loop in accept whenever another process accepts the connection
   * first. The Java runtime's view of the socket is the only way to make it non-blocking; the view
   * stays open, since closing it would redirect the standard streams.
   */
  public static ServerSocketChannel adopt(int descriptor) throws IOException {
    if (descriptor != 0
        || !(System.inheritedChannel() instanceof java.nio.channels.ServerSocketChannel view)) {
      throw new IOException("descriptor " + descriptor + " is not an inherited listening socket");
    }
    view.configureBlocking(false);
    return Epoll.isAvailable()
        ? new EpollServerSocketChannel(descriptor)
        : new NioServerSocketChannel(view);
  }

  /**
   * Runs the callback on the event loop's thread, which must be the calling thread, once the
   * connect has completed. If no file descriptor is available, Netty creates no real channel: the
   * future has already failed, its listeners would run on a thread of Netty's own, and the
   * placeholder channel never closes.
   */
  public static void whenConnected(ChannelFuture connect, Consumer<ChannelFuture> ended) {
    if (connect.isDone()) {
      ended.accept(connect);
    } else {
      connect.addListener((ChannelFuture f) -> ended.accept(f));
    }
  }
}
