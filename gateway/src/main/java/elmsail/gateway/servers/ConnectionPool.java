package elmsail.gateway.servers;

import elmsail.config.ClusterState;
import elmsail.config.RoutingConfig;
import elmsail.config.Service;
import elmsail.gateway.http.RequestCounters;
import elmsail.runtime.Addresses;
import elmsail.runtime.Timers;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import java.util.Iterator;

/**
 * Gives each attempt a connection to its server: an idle one that has rested, or a new one. All on
 * the loop.
 */
final class ConnectionPool {
  /** No connect may take longer before another server is tried. */
  private static final int CONNECT_MS = 150;

  /** Nor to one that has failed lately. */
  private static final int DOUBTFUL_CONNECT_MS = 80;

  /** A connection rests so long behind an answer, as an extra one may come late. */
  private static final long REST_MS = 20;

  private static final int LEAST_CONNECTIONS = 4;
  private static final int DEFAULT_CONNECTIONS = 64;
  private static final int LOW_WATER_BYTES = 32 * 1024;
  private static final int HIGH_WATER_BYTES = 64 * 1024;

  private final Timers timers;
  private final ClusterState known;
  private final RequestCounters counters;
  private final Bootstrap bootstrap;
  private boolean stopped;

  ConnectionPool(Timers timers, EventLoop loop, ClusterState known, RequestCounters counters) {
    this.timers = timers;
    this.known = known;
    this.counters = counters;
    bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(QuietSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            // So that an end in order is told apart from a reset and from a close by this side.
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES));
  }

  Timers timers() {
    return timers;
  }

  RequestCounters counters() {
    return counters;
  }

  /** Answered connections are not kept from here on. */
  void stop() {
    stopped = true;
  }

  boolean stopped() {
    return stopped;
  }

  /** Whether answered connections are kept. */
  boolean keeps(Server server) {
    return !stopped && !server.gone();
  }

  /**
   * How many connections to a server this gateway may have, so that all gateways together keep
   * within its cap.
   */
  int most(Server server) {
    RoutingConfig now = known.config();
    Service service = now == null ? null : now.services().get(server.entry().service());
    int cap =
        service == null || service.maxConnections() <= 0 ? DEFAULT_CONNECTIONS : service.maxConnections();
    return Math.max(LEAST_CONNECTIONS, cap / Math.max(1, known.view().gateways.size()));
  }

  /** Sends the attempt's request over some connection; what is heard of it comes later. */
  void carry(Server server, Attempt attempt) {
    boolean connectFirst = server.doubtful(timers.now()) && server.connections < most(server);
    ServerConnection kept = connectFirst ? null : rested(server, attempt.out().id());
    if (kept != null) {
      kept.carry(attempt);
    } else {
      connect(server, attempt);
    }
  }

  /** An idle connection that may carry a request of that id, or null. */
  private ServerConnection rested(Server server, String requestId) {
    long now = timers.now();
    boolean full = server.connections >= most(server);
    for (Iterator<ServerConnection> all = server.idle.descendingIterator(); all.hasNext(); ) {
      ServerConnection connection = all.next();
      if ((now - connection.idleSince() >= REST_MS || full)
          && !connection.hasJustCarried(requestId)) {
        all.remove();
        if (connection.usable(now)) {
          return connection;
        }
        connection.close();
      }
    }
    return null;
  }

  private void connect(Server server, Attempt attempt) {
    ServerConnection connection = new ServerConnection(this, server);
    server.connections++;
    int limit = server.doubtful(timers.now()) ? DOUBTFUL_CONNECT_MS : CONNECT_MS;
    Bootstrap limited = bootstrap.clone().option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limit);
    ChannelFuture connect =
        limited
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    connection.into(channel.pipeline());
                  }
                })
            .connect(Addresses.parse(server.entry().address()));
    attempt.on(connect.channel());
    connect.channel().closeFuture().addListener(f -> server.connections--);
    if (connect.isDone()) {
      timers.execute(
          () ->
              connected(
                  connect,
                  server,
                  connection,
                  attempt)); // not within the call that begins the attempt
    } else {
      connect.addListener(
          (ChannelFuture connecting) -> connected(connecting, server, connection, attempt));
    }
  }

  private void connected(
      ChannelFuture connecting, Server server, ServerConnection connection, Attempt attempt) {
    if (!connecting.isSuccess()) {
      connecting.channel().close();
      counters.count(RequestCounters.Event.CONNECT_FAILED);
      if (!attempt.over()) { // a cancelled one says nothing of the server
        server.failed(timers.now());
        attempt.failed();
      }
      return;
    }
    counters.count(RequestCounters.Event.CONNECTED);
    if (attempt.over() || server.gone()) {
      connecting.channel().close();
      attempt.failed();
    } else {
      connection.carry(attempt);
    }
  }
}
