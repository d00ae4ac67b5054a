package elmsail.rpc;

import elmsail.runtime.AddressUnavailableException;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ListenAddress;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * The server side of an {@link RpcEndpoint}: listens at its address and owns the connections that
 * others opened. Used on the loop only.
 */
final class RpcServer {

  static final int MAX_ACCEPTED_CONNECTIONS = 4_096;
  private static final int LISTEN_BACKLOG = 512;

  private final RpcContext context;
  private final RpcConnection.Listener connectionListener;
  private final Runnable sweepSoon;
  private final long instanceId;
  private final Set<RpcConnection> accepted = new LinkedHashSet<>();
  private String localAddress;
  private Channel listener;
  private boolean closed;

  /**
   * Listens nowhere until {@link #listen()}.
   *
   * @param localAddress "ip:port"; port 0 lets the system choose one
   * @param instanceId sent in the hello of each accepted connection
   * @param sweepSoon called when a connection was accepted
   */
  RpcServer(
      RpcContext context,
      String localAddress,
      long instanceId,
      RpcConnection.Listener connectionListener,
      Runnable sweepSoon) {
    this.context = context;
    this.localAddress = localAddress;
    this.instanceId = instanceId;
    this.connectionListener = connectionListener;
    this.sweepSoon = sweepSoon;
  }

  /** The address to listen at, "ip:port"; with the port that was chosen once it listens. */
  String localAddress() {
    return localAddress;
  }

  /** Connections that others opened and that are not closed. */
  Collection<RpcConnection> connections() {
    return accepted;
  }

  /** Forgets a connection that has closed. */
  void remove(RpcConnection connection) {
    accepted.remove(connection);
  }

  /**
   * Completes once others can connect; fails with {@link AddressUnavailableException} if the
   * address is not free.
   */
  CompletableFuture<Void> listen() {
    ServerBootstrap server =
        new ServerBootstrap()
            .group(context.loop())
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_SNDBUF, RpcConnection.SEND_BUFFER_BYTES)
            .childHandler(new AcceptedConnectionInitializer());
    try {
      return ListenAddress.bind(server, localAddress).thenAccept(this::onBound);
    } catch (ElmsailException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private void onBound(Channel channel) {
    listener = channel;
    if (closed) {
      channel.close();
    }
    int port = ((InetSocketAddress) channel.localAddress()).getPort();
    localAddress = localAddress.substring(0, localAddress.lastIndexOf(':') + 1) + port;
  }

  /** Stops listening and closes all accepted connections. */
  void close() {
    closed = true;
    if (listener != null) {
      listener.close();
    }
    for (RpcConnection connection : new ArrayList<>(accepted)) {
      connection.close();
    }
  }

  private final class AcceptedConnectionInitializer extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      if (closed || accepted.size() >= MAX_ACCEPTED_CONNECTIONS) {
        channel.close();
        return;
      }
      HandshakeHello self = new HandshakeHello(HandshakeHello.VERSION, localAddress, instanceId);
      RpcConnection connection =
          RpcConnection.accepted(Handshake.forServer(self), connectionListener, context);
      accepted.add(connection);
      channel.pipeline().addLast(connection);
      sweepSoon.run();
    }
  }
}
