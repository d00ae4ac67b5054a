package elmsail.gateway.frontend;

import elmsail.config.ClusterState;
import elmsail.config.RoutingConfig;
import elmsail.config.RoutingConfig.ClientLimits;
import elmsail.gateway.http.RequestCounters;
import elmsail.gateway.requests.RequestDispatcher;
import elmsail.runtime.Addresses;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Timers;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
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

/** The address that clients connect to, and their connections. All on the loop. */
public final class ClientListener {
  private static final int BACKLOG = 1_024;
  private static final ClientLimits BEFORE_ANY = new ClientLimits(16_384, 4 << 20, 3_000, 15_000);

  /** Descriptors that are kept for all but clients. */
  private static final int KEPT_DESCRIPTORS = 600;

  private static final int LEAST_CONNECTIONS = 200;

  /** Bodies of requests under way, all together. */
  private static final long MOST_BODY_BYTES = 48L << 20;

  private final Timers timers;
  private final ClusterState known;
  private final RequestDispatcher desk;
  private final RequestCounters counters;
  private final int most;
  private final Set<ClientConnection> open = new LinkedHashSet<>();
  private Channel listening;
  private long bodyBytes;
  private boolean ending;
  private boolean closedToNew;

  private ClientListener(
      Timers timers,
      ClusterState known,
      RequestDispatcher desk,
      RequestCounters counters,
      int fds) {
    this.timers = timers;
    this.known = known;
    this.desk = desk;
    this.counters = counters;
    most = Math.max(LEAST_CONNECTIONS, fds - KEPT_DESCRIPTORS);
  }

  /**
   * Completes on the loop once the address is bound; fails with BAD_SETTINGS.
   *
   * @param fds descriptors that the process may hold
   */
  public static CompletableFuture<ClientListener> listen(
      Timers timers,
      EventLoop loop,
      String address,
      ClusterState known,
      RequestDispatcher desk,
      RequestCounters counters,
      int fds) {
    ClientListener front = new ClientListener(timers, known, desk, counters, fds);
    CompletableFuture<ClientListener> bound = new CompletableFuture<>();
    ChannelFuture binding =
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
                    front.opened(channel);
                  }
                })
            .bind(Addresses.parse(address));
    binding.addListener(
        done -> {
          if (done.isSuccess()) {
            front.listening = binding.channel();
            bound.complete(front);
          } else {
            bound.completeExceptionally(
                new ElmsailException(
                    ErrorCode.INVALID_SETTINGS, "cannot listen on " + address, done.cause()));
          }
        });
    return bound;
  }

  private void opened(Channel channel) {
    if (open.size() >= most) {
      channel.close();
      return;
    }
    ClientConnection connection = new ClientConnection(this);
    open.add(connection);
    connection.into(channel.pipeline());
  }

  void closed(ClientConnection connection) {
    open.remove(connection);
  }

  Timers timers() {
    return timers;
  }

  RequestDispatcher desk() {
    return desk;
  }

  RequestCounters counters() {
    return counters;
  }

  ClientLimits limits() {
    RoutingConfig now = known.config();
    return now == null || now.limits() == null ? BEFORE_ANY : now.limits();
  }

  /** Whether answers are to say that the connection ends. */
  boolean ending() {
    return ending;
  }

  /**
   * Whether what is read whole from here on comes too late to be served before the process ends.
   */
  boolean closedToNew() {
    return closedToNew;
  }

  /** Whether a body of so many bytes more can be kept. */
  boolean takesBody(int bytes) {
    if (bodyBytes + bytes > MOST_BODY_BYTES) {
      return false;
    }
    bodyBytes += bytes;
    return true;
  }

  void gaveBody(int bytes) {
    bodyBytes -= bytes;
  }

  /** Where it listens, ip:port. */
  public String address() {
    InetSocketAddress local = (InetSocketAddress) listening.localAddress();
    return local.getAddress().getHostAddress() + ":" + local.getPort();
  }

  /** How many connections are open. */
  public int connections() {
    return open.size();
  }

  /** From here on each answer ends its connection. */
  public void beginEnd() {
    ending = true;
  }

  /** Takes no new connections, and ends those that no request is on. */
  public void closeIdle() {
    listening.close();
    closedToNew = true;
    for (ClientConnection c : new ArrayList<>(open)) {
      c.closeIfIdle();
    }
  }

  /** Ends what is left. */
  public void closeAll() {
    for (ClientConnection c : new ArrayList<>(open)) {
      c.close();
    }
  }
}
