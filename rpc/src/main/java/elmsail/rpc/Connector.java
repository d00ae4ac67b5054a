package elmsail.rpc;

import elmsail.runtime.Addresses;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;

/** Opens the connections to the peers that are called. Used on the loop only. */
final class Connector {

  static final long CONNECT_TIMEOUT_MS = 700;

  private final RpcContext context;
  private final RpcConnection.Listener listener;
  private final Runnable sweepSoon;
  private boolean closed;

  /**
   * Wires the parts; nothing is opened yet.
   *
   * @param listener of the connections that are opened
   * @param sweepSoon called after each attempt
   */
  Connector(RpcContext context, RpcConnection.Listener listener, Runnable sweepSoon) {
    this.context = context;
    this.listener = listener;
    this.sweepSoon = sweepSoon;
  }

  /** From now on no connection is opened. */
  void close() {
    closed = true;
  }

  /**
   * Tries once to open the peer's connection. The calls queued for it are sent then, or fail with
   * NOT_SENT if the attempt fails.
   */
  void connect(Peer peer) {
    if (closed) {
      onUnreachable(peer, "this endpoint is closed");
      return;
    }
    InetSocketAddress address;
    try {
      address = Addresses.parse(peer.address);
    } catch (ElmsailException e) {
      onUnreachable(peer, "not an address ip:port");
      return;
    }
    HandshakeHello intended =
        new HandshakeHello(HandshakeHello.VERSION, peer.address, HandshakeHello.ANY_INSTANCE);
    RpcConnection connection =
        RpcConnection.outbound(peer, Handshake.forClient(intended), listener, context);
    ChannelFuture opening =
        new Bootstrap()
            .group(context.loop())
            .channel(NioSocketChannel.class)
            .disableResolver()
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_SNDBUF, RpcConnection.SEND_BUFFER_BYTES)
            .handler(connection)
            .connect(address);
    Channel channel = opening.channel();
    peer.channel = channel;
    peer.connectDeadlineExtended = false;
    peer.connectDeadline = context.timers().now() + CONNECT_TIMEOUT_MS;
    peer.connectTimer =
        context.timers().schedule(CONNECT_TIMEOUT_MS, () -> onConnectTimeout(peer, channel));
    opening.addListener((ChannelFuture done) -> onConnectDone(peer, connection, done));
  }

  /**
   * Ends the attempt, after one extension if the timer itself is late: see {@link OutboundCalls}.
   */
  private void onConnectTimeout(Peer peer, Channel channel) {
    boolean stalled =
        context.timers().now() - peer.connectDeadline > ConnectionSweeper.STALL_THRESHOLD_MS;
    if (!peer.connectDeadlineExtended && stalled) {
      peer.connectDeadlineExtended = true;
      peer.connectTimer =
          context
              .timers()
              .schedule(KeepaliveMonitor.RECHECK_DELAY_MS, () -> onConnectTimeout(peer, channel));
    } else {
      channel.close();
    }
  }

  private void onConnectDone(Peer peer, RpcConnection connection, ChannelFuture opening) {
    peer.connectTimer.cancel();
    peer.channel = null;
    if (closed || !opening.isSuccess() || !opening.channel().isActive()) {
      opening.channel().close();
      context.counters().failedConnects++;
      onUnreachable(peer, "cannot connect");
      return;
    }
    context.counters().connectionsOpened++;
    peer.connecting = false;
    peer.connection = connection;
    connection.sendHello();
    for (PendingCall call : peer.drainQueue()) {
      if (connection.send(call, call.frame)) {
        call.frame = null;
      } else {
        call.fail(ErrorCode.RESOURCE_EXHAUSTED, "the connection's send queue is full");
      }
    }
    sweepSoon.run();
  }

  private void onUnreachable(Peer peer, String reason) {
    peer.connecting = false;
    peer.backOff(context.timers().now());
    sweepSoon.run();
    for (PendingCall call : peer.drainQueue()) {
      call.fail(ErrorCode.NOT_SENT, reason);
    }
  }
}
