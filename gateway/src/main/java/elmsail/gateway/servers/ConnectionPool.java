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
 * Connections to servers: gives each attempt an idle connection, or a new one. Owned by the
 * gateway's event loop, which also runs all connections.
 */
final class ConnectionPool {
  /** A connect that takes longer fails, and another server is tried. */
  private static final int CONNECT_TIMEOUT_MS = 150;

  /**
   * The connect timeout for a server whose connections are doubtful, see {@link
   * ServerHealth#isConnectionDoubtful}.
   */
  private static final int SUSPECT_CONNECT_TIMEOUT_MS = 80;

  /**
   * Minimum idle time before a connection is reused. A faulty server may send an extra response
   * late, which is detected during this time.
   */
  private static final long REUSE_DELAY_MS = 20;

  private static final int MIN_CONNECTIONS = 4;
  private static final int DEFAULT_CONNECTIONS = 64;
  private static final int LOW_WATER_BYTES = 32 * 1024;
  private static final int HIGH_WATER_BYTES = 64 * 1024;

  private final Timers timers;
  private final ClusterState clusterState;
  private final RequestCounters counters;
  private final Bootstrap bootstrap;
  private boolean isStopped;

  ConnectionPool(
      Timers timers, EventLoop loop, ClusterState clusterState, RequestCounters counters) {
    this.timers = timers;
    this.clusterState = clusterState;
    this.counters = counters;
    bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(IdleCheckSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            // See startConnectTimer.
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0)
            // Distinguishes an orderly close by the server from a reset and from a local close.
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

  /** From now on, closes connections instead of keeping them idle. */
  void stop() {
    isStopped = true;
  }

  boolean isStopped() {
    return isStopped;
  }

  /** Whether a connection to this server is kept after a response. */
  boolean keepsConnections(Server server) {
    return !isStopped && !server.isRemoved();
  }

  /**
   * How many connections this gateway may have to a server, so that all gateways together stay
   * within the service's limit.
   */
  int maxConnections(Server server) {
    RoutingConfig config = clusterState.config();
    Service service = config == null ? null : config.services().get(server.entry().service());
    int cap =
        service == null || service.maxConnections() <= 0
            ? DEFAULT_CONNECTIONS
            : service.maxConnections();
    return Math.max(MIN_CONNECTIONS, cap / Math.max(1, clusterState.view().gateways.size()));
  }

  /** Whether one more request can be sent to the server, over an idle or a new connection. */
  boolean hasCapacity(Server server) {
    return !server.idleConnections.isEmpty() || server.connectionCount < maxConnections(server);
  }

  /**
   * Sends the attempt's request over an idle or a new connection. The listener is called later,
   * never within this call.
   */
  void send(Server server, Attempt attempt) {
    boolean connectFirst =
        server.health().isConnectionDoubtful(timers.now())
            && server.connectionCount < maxConnections(server);
    ServerConnection reusable = connectFirst ? null : pollReusable(server, attempt.request().id());
    if (reusable != null) {
      reusable.send(attempt);
    } else {
      connect(server, attempt);
    }
  }

  /**
   * Removes and returns an idle connection that may carry a request with this id, or returns null.
   * Unusable connections found during the search are closed.
   */
  private ServerConnection pollReusable(Server server, String requestId) {
    long now = timers.now();
    boolean atLimit = server.connectionCount >= maxConnections(server);
    for (Iterator<ServerConnection> all = server.idleConnections.descendingIterator();
        all.hasNext(); ) {
      ServerConnection connection = all.next();
      if ((now - connection.idleSince() >= REUSE_DELAY_MS || atLimit)
          && !connection.lastCarried(requestId)) {
        all.remove();
        if (connection.isUsable(now)) {
          return connection;
        }
        connection.close();
      }
    }
    return null;
  }

  private void connect(Server server, Attempt attempt) {
    ServerConnection connection = new ServerConnection(this, server);
    server.connectionCount++;
    int connectTimeoutMs =
        server.health().isConnectionDoubtful(timers.now())
            ? SUSPECT_CONNECT_TIMEOUT_MS
            : CONNECT_TIMEOUT_MS;
    ChannelFuture connect =
        bootstrap
            .clone()
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    connection.addTo(channel.pipeline());
                  }
                })
            .connect(Addresses.parse(server.entry().address()));
    attempt.bindTo(connect.channel());
    connect.channel().closeFuture().addListener(f -> server.connectionCount--);
    startConnectTimer(connect, connectTimeoutMs);
    if (connect.isDone()) {
      // The listener must not be called within the call that starts the attempt.
      timers.execute(() -> onConnectDone(connect, server, connection, attempt));
    } else {
      connect.addListener(
          (ChannelFuture connecting) -> onConnectDone(connecting, server, connection, attempt));
    }
  }

  /**
   * Closes a connection that is not established in time, which fails the connect. Netty's own
   * connect timeout is not used: after a pause of this process it fires before the sockets are
   * processed, and so fails connects that have succeeded.
   */
  private void startConnectTimer(ChannelFuture connect, int connectTimeoutMs) {
    Timers.Timer timer =
        timers.schedule(
            connectTimeoutMs,
            () -> {
              if (!connect.isDone()) {
                connect.channel().close();
              }
            });
    connect.addListener(done -> timer.cancel());
  }

  private void onConnectDone(
      ChannelFuture connecting, Server server, ServerConnection connection, Attempt attempt) {
    if (!connecting.isSuccess()) {
      connecting.channel().close();
      counters.count(RequestCounters.Event.CONNECT_FAILED);
      if (!attempt.isFinished()) { // a cancelled attempt is no evidence of a server failure
        server.recordFailure(timers.now());
        attempt.onFailure();
      }
      return;
    }
    counters.count(RequestCounters.Event.CONNECTED);
    if (attempt.isFinished() || server.isRemoved()) {
      connecting.channel().close();
      attempt.onFailure();
    } else {
      connection.send(attempt);
    }
  }
}
