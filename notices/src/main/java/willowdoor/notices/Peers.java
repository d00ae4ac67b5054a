package willowdoor.notices;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * The links between front doors over TCP. All run on one event loop, on which the listener is
 * called too. Each front door opens a link to each peer that it sends messages to; replies come
 * back on the same link. This class owns its channels and closes all of them in {@link #close}.
 */
public final class Peers implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MS = 2_000;
  private static final int KEEP_ALIVE_S = 5;
  private static final int READ_TIMEOUT_S = 15;
  private static final long RETRY_MS = 100;
  private static final long MAX_RETRY_MS = 5_000;

  /**
   * Bytes that may wait to be written to a peer. A peer that reads more slowly is disconnected and
   * resumes from what it has.
   */
  private static final WriteBufferWaterMark WRITE_BUFFER =
      new WriteBufferWaterMark(1 << 19, 1 << 20);

  /** Maximum number of incoming connections, from front doors or any other client. */
  private static final int MAX_INCOMING = 1_024;

  /** Notified of link events, on the event loop. */
  public interface Listener {
    void linkUp(int peer);

    void linkDown(int peer);

    void message(int peer, PeerMessage message);

    /**
     * Handles data that no front door sends; {@code peer} is -1 if the other side has not sent a
     * valid hello.
     */
    void invalidMessage(int peer, String why);
  }

  /** One link that this front door opens, and reopens while it is needed. */
  private final class Outgoing {
    private final int peer;
    private Channel channel;
    private boolean up;
    private boolean wanted = true;
    private int failures;

    private Outgoing(int peer) {
      this.peer = peer;
    }

    private void connect() {
      InetSocketAddress address = roster.get(peer);
      if (!wanted || closed || address == null) {
        return;
      }
      new Bootstrap()
          .group(loop)
          .channel(client)
          .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
          .option(ChannelOption.TCP_NODELAY, true)
          .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER)
          .handler(initializer(this))
          .connect(address)
          .addListener(
              done -> {
                if (!done.isSuccess()) {
                  ended();
                }
              });
    }

    /**
     * Reconnects after an exponential delay with jitter, so that peers do not reconnect all at
     * once.
     */
    private void ended() {
      boolean wasUp = up;
      up = false;
      channel = null;
      if (wasUp) {
        failures = 0;
        listener.linkDown(peer);
      }
      if (wanted && !closed) {
        long maxDelayMs = Math.min(MAX_RETRY_MS, RETRY_MS << Math.min(failures++, 6));
        loop.schedule(
            this::connect,
            (long) (maxDelayMs * (0.5 + random.getAsDouble() / 2)),
            TimeUnit.MILLISECONDS);
      }
    }
  }

  private final EventLoop loop;
  private final Class<? extends Channel> client;
  private final PeerCodec.Hello self;
  private final Map<Integer, InetSocketAddress> roster;
  private final DoubleSupplier random;
  private final Listener listener;
  private final Map<Integer, Outgoing> outgoing = new HashMap<>();
  private final Map<Integer, Channel> incoming = new HashMap<>();
  private Channel server;
  private int incomingCount;
  private boolean closed;

  /**
   * Creates the links of a front door.
   *
   * @param client channel class for outgoing connections
   * @param self hello of this front door
   * @param roster addresses of the other front doors by number
   * @param random returns a number from 0 to 1 at each call
   */
  public Peers(
      EventLoop loop,
      Class<? extends Channel> client,
      PeerCodec.Hello self,
      Map<Integer, InetSocketAddress> roster,
      DoubleSupplier random,
      Listener listener) {
    this.loop = loop;
    this.client = client;
    this.self = self;
    this.roster = roster;
    this.random = random;
    this.listener = listener;
  }

  /**
   * Listens for connections of other front doors.
   *
   * @return the port
   * @throws InterruptedException if interrupted while binding
   */
  public int listen(Class<? extends ServerChannel> kind, InetSocketAddress address)
      throws InterruptedException {
    server =
        new ServerBootstrap()
            .group(loop)
            .channel(kind)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER)
            .childHandler(initializer(null))
            .bind(address)
            .sync()
            .channel();
    return ((InetSocketAddress) server.localAddress()).getPort();
  }

  private ChannelInitializer<Channel> initializer(Outgoing link) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel channel) {
        channel
            .pipeline()
            .addLast(
                new IdleStateHandler(READ_TIMEOUT_S, KEEP_ALIVE_S, 0),
                new LengthFieldBasedFrameDecoder(PeerCodec.MAX_FRAME, 0, 4, 0, 4),
                new LengthFieldPrepender(4),
                new PeerChannel(Peers.this, link == null ? -1 : link.peer));
      }
    };
  }

  /**
   * Executes {@link Effect.Connect}, {@link Effect.Disconnect} and {@link Effect.Send}; ignores all
   * other effects.
   */
  public void apply(Effect effect) {
    if (effect instanceof Effect.Connect connect) {
      outgoing.computeIfAbsent(connect.peer(), Outgoing::new).connect();
    } else if (effect instanceof Effect.Disconnect disconnect) {
      Outgoing link = outgoing.remove(disconnect.peer());
      if (link != null) {
        link.wanted = false;
        link.up = false;
        if (link.channel != null) {
          link.channel.close();
        }
      }
    } else if (effect instanceof Effect.Send send) {
      Outgoing link = outgoing.get(send.peer());
      Channel channel =
          send.message() instanceof PeerMessage.Reply
              ? incoming.get(send.peer())
              : link != null && link.up ? link.channel : null;
      if (channel != null) {
        write(channel, PeerCodec.encode(send.message()));
      }
    }
  }

  void write(Channel channel, byte[] frame) {
    if (channel.isWritable()) {
      channel.writeAndFlush(Unpooled.wrappedBuffer(frame), channel.voidPromise());
    } else {
      channel.close();
    }
  }

  PeerCodec.Hello self() {
    return self;
  }

  Listener listener() {
    return listener;
  }

  /**
   * Handles a new channel.
   *
   * @return whether the channel is accepted
   */
  boolean opened(Channel channel, int dialledPeer) {
    Outgoing link = outgoing.get(dialledPeer);
    if (dialledPeer >= 0) {
      if (closed || link == null || link.channel != null) {
        return false;
      }
      link.channel = channel;
      return true;
    }
    incomingCount++;
    return !closed && incomingCount <= MAX_INCOMING;
  }

  /**
   * Handles the hello of the other side.
   *
   * @return whether the connection is accepted
   */
  boolean helloReceived(Channel channel, int dialledPeer, PeerCodec.Hello hello) {
    boolean known =
        hello.fleet().equals(self.fleet())
            && hello.member() != self.member()
            && roster.containsKey(hello.member())
            && (dialledPeer < 0 || dialledPeer == hello.member());
    if (!known) {
      listener.invalidMessage(
          hello.member(), "hello names another fleet or an unexpected member number");
      return false;
    }
    if (dialledPeer < 0) {
      Channel before = incoming.put(hello.member(), channel);
      if (before != null) {
        before.close();
      }
      return true;
    }
    Outgoing link = outgoing.get(dialledPeer);
    if (link == null || link.channel != channel) {
      return false;
    }
    link.up = true;
    listener.linkUp(dialledPeer);
    return true;
  }

  void ended(Channel channel, int dialledPeer, int peer) {
    if (dialledPeer < 0) {
      incomingCount--;
      incoming.remove(peer, channel);
      return;
    }
    Outgoing link = outgoing.get(dialledPeer);
    if (link != null && link.channel == channel) {
      link.ended();
    }
  }

  /** Closes all links. Must be called on the event loop. */
  @Override
  public void close() {
    closed = true;
    if (server != null) {
      server.close();
    }
    outgoing
        .values()
        .forEach(
            link -> {
              if (link.channel != null) {
                link.channel.close();
              }
            });
    incoming.values().forEach(Channel::close);
  }
}
