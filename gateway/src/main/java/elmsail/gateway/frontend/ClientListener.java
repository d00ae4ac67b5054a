package elmsail.gateway.frontend;

import elmsail.config.ClusterState;
import elmsail.config.RoutingConfig;
import elmsail.config.RoutingConfig.ClientLimits;
import elmsail.gateway.http.RequestCounters;
import elmsail.gateway.requests.RequestDispatcher;
import elmsail.runtime.AddressUnavailableException;
import elmsail.runtime.Addresses;
import elmsail.runtime.ListenAddress;
import elmsail.runtime.Timers;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Listens for clients and keeps track of their connections. Owned by the gateway's event loop. */
public final class ClientListener {
  private static final int BACKLOG = 1_024;

  /** The limits before the first configuration. */
  private static final ClientLimits DEFAULT_LIMITS =
      new ClientLimits(16_384, 4 << 20, 3_000, 15_000);

  /** File descriptors that are reserved for uses other than client connections. */
  private static final int RESERVED_DESCRIPTORS = 600;

  private static final int MIN_CONNECTIONS = 200;

  /** Limit for the total size of the bodies of all open requests. */
  private static final long MAX_BODY_BYTES = 48L << 20;

  private final Timers timers;
  private final ClusterState clusterState;
  private final RequestDispatcher dispatcher;
  private final RequestCounters counters;
  private final int maxConnections;
  private final Set<ClientConnection> openConnections = new LinkedHashSet<>();
  private Channel serverChannel;
  private long bodyBytes;
  private boolean isDraining;
  private boolean rejectsNewRequests;

  private ClientListener(
      Timers timers,
      ClusterState clusterState,
      RequestDispatcher dispatcher,
      RequestCounters counters,
      int maxDescriptors) {
    this.timers = timers;
    this.clusterState = clusterState;
    this.dispatcher = dispatcher;
    this.counters = counters;
    maxConnections = Math.max(MIN_CONNECTIONS, maxDescriptors - RESERVED_DESCRIPTORS);
  }

  /**
   * Binds the address. Completes on the loop; fails with {@link AddressUnavailableException} if the
   * address cannot be bound.
   *
   * @param address as {@code ip:port}
   * @param maxDescriptors file descriptors that the process may open
   */
  public static CompletableFuture<ClientListener> listen(
      Timers timers,
      EventLoop loop,
      String address,
      ClusterState clusterState,
      RequestDispatcher dispatcher,
      RequestCounters counters,
      int maxDescriptors) {
    ClientListener listener =
        new ClientListener(timers, clusterState, dispatcher, counters, maxDescriptors);
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(32 * 1024, 64 * 1024))
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    listener.onConnected(channel);
                  }
                });
    return ListenAddress.bind(bootstrap, address)
        .thenApply(
            channel -> {
              listener.serverChannel = channel;
              return listener;
            });
  }

  private void onConnected(Channel channel) {
    if (openConnections.size() >= maxConnections) {
      channel.close();
      return;
    }
    ClientConnection connection = new ClientConnection(this);
    openConnections.add(connection);
    connection.addTo(channel.pipeline());
  }

  void onClosed(ClientConnection connection) {
    openConnections.remove(connection);
  }

  Timers timers() {
    return timers;
  }

  RequestDispatcher dispatcher() {
    return dispatcher;
  }

  RequestCounters counters() {
    return counters;
  }

  /** The limits that are currently in force. */
  ClientLimits limits() {
    RoutingConfig config = clusterState.config();
    return config == null || config.limits() == null ? DEFAULT_LIMITS : config.limits();
  }

  /** Whether each response announces that its connection closes. */
  boolean isDraining() {
    return isDraining;
  }

  /**
   * Whether requests whose last byte arrives now are rejected, as the process may exit before it
   * has served them.
   */
  boolean rejectsNewRequests() {
    return rejectsNewRequests;
  }

  /** Reserves bytes of the limit for all bodies; returns false if the limit would be exceeded. */
  boolean tryReserveBodyBytes(int bytes) {
    if (bodyBytes + bytes > MAX_BODY_BYTES) {
      return false;
    }
    bodyBytes += bytes;
    return true;
  }

  /** Releases reserved bytes. */
  void releaseBodyBytes(int bytes) {
    bodyBytes -= bytes;
  }

  /** The bound address, as {@code ip:port}. */
  public String address() {
    return Addresses.format((InetSocketAddress) serverChannel.localAddress());
  }

  /** The number of open connections. */
  public int connectionCount() {
    return openConnections.size();
  }

  /** From now on each response closes its connection. */
  public void startDrain() {
    isDraining = true;
  }

  /** Stops listening, rejects further requests and closes the connections without a request. */
  public void closeIdle() {
    serverChannel.close();
    rejectsNewRequests = true;
    for (ClientConnection c : new ArrayList<>(openConnections)) {
      c.closeIfIdle();
    }
  }

  /** Closes all remaining connections. */
  public void closeAll() {
    for (ClientConnection c : new ArrayList<>(openConnections)) {
      c.close();
    }
  }
}
