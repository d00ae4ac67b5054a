package willowdoor.lab.net;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import java.io.Closeable;
import java.util.concurrent.TimeUnit;

/**
 * One event loop, of native epoll as a closed socket is gone at once there, and the channels on it.
 * Closing it closes these first: a loop that is shut down without a quiet time may end before it
 * has looked for channels that are open, and leaves those, listening ones too.
 */
public final class OwnLoop implements Closeable {

  private static final long LIMIT_MS = 3_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, EpollIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final ChannelGroup channels = new DefaultChannelGroup(loop, true);

  public EventLoop loop() {
    return loop;
  }

  /** Has the channel closed with the loop. */
  public <T extends Channel> T keep(T channel) {
    channels.add(channel);
    return channel;
  }

  @Override
  public void close() {
    channels.close().awaitUninterruptibly(LIMIT_MS);
    group.shutdownGracefully(0, LIMIT_MS, TimeUnit.MILLISECONDS).awaitUninterruptibly(LIMIT_MS);
  }
}
