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
 * The sockets that the event loop drives: native epoll, which took a quarter less CPU on a calm
 * day, or NIO where its library cannot be loaded.
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

  /** Channels within the process, for a warm-up: no socket is opened. */
  public static final Transport IN_PROCESS =
      new Transport(
          LocalIoHandler.newFactory(), LocalChannel.class, LocalServerChannel.class, false);

  private static final int BACKLOG = 512;

  /** How much may wait to be written to a peer before nothing more is read for it. */
  public static final WriteBufferWaterMark WRITE_BUFFER_LIMITS =
      new WriteBufferWaterMark(8 * 1024, 16 * 1024);

  /** For connections from here: what is written goes out at once. */
  public Bootstrap client(EventLoop loop) {
    Bootstrap client = new Bootstrap().group(loop).channel(socket);
    return tcp ? client.option(ChannelOption.TCP_NODELAY, true) : client;
  }

  /** For connections to here, likewise. */
  public ServerBootstrap server(EventLoopGroup group) {
    ServerBootstrap server = new ServerBootstrap().group(group);
    return !tcp
        ? server
        : server
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true);
  }

  /** Reads 32 KiB at most at once. */
  public static RecvByteBufAllocator readBufferAllocator() {
    return new AdaptiveRecvByteBufAllocator(512, 2_048, 32 * 1024);
  }

  /**
   * A channel on the listening socket that the process has inherited as the descriptor. A blocking
   * one would hold the loop in accept whenever another process is quicker; the runtime's view of it
   * is the only way to change that, and is kept open, since closing it would redirect the standard
   * streams.
   */
  public static ServerSocketChannel adopt(int descriptor) throws IOException {
    if (descriptor != 0
        || !(System.inheritedChannel() instanceof java.nio.channels.ServerSocketChannel view)) {
      throw new IOException("descriptor " + descriptor + " is no inherited listening socket");
    }
    view.configureBlocking(false);
    return Epoll.isAvailable()
        ? new EpollServerSocketChannel(descriptor)
        : new NioServerSocketChannel(view);
  }

  /**
   * Calls back on the event loop's thread, this one, once the connect has ended. Without a
   * descriptor left no channel is made: the future has failed by now, its listeners would be called
   * on a thread of the library's own, and its stand-in for a channel never closes.
   */
  public static void whenConnected(ChannelFuture connect, Consumer<ChannelFuture> ended) {
    if (connect.isDone()) {
      ended.accept(connect);
    } else {
      connect.addListener((ChannelFuture f) -> ended.accept(f));
    }
  }
}
