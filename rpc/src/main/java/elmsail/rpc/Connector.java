package elmsail.rpc;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Timers;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;

/** Opens the connections to called peers. Confined to the event loop. */
final class Connector {

  /** The maximum time to connect. */
  static final long CONNECT_TIMEOUT_MS = 700;

  private final EventLoop loop;
  private final Timers timers;
  private final MessageCodec codec;
  private final RpcCounters counters;
  private final RpcConnection.Listener listener;

  /** Run when a connection needs to be swept. */
  private final Runnable sweepSoon;

  private boolean closed;

  Connector(
      EventLoop loop,
      Timers timers,
      MessageCodec codec,
      RpcCounters counters,
      RpcConnection.Listener listener,
      Runnable sweepSoon) {
    this.loop = loop;
    this.timers = timers;
    this.codec = codec;
    this.counters = counters;
    this.listener = listener;
    this.sweepSoon = sweepSoon;
  }

  /** Opens no more connections. */
  void close() {
    closed = true;
  }

  /** Connects to the peer; queued calls are sent, or fail with {@code NOT_SENT}. */
  void connect(Peer peer) {
    if (closed) {
      onUnreachable(peer, "closed");
      return;
    }
    InetSocketAddress address;
    try {
      address = RpcAddress.parse(peer.address);
    } catch (ElmsailException e) {
      onUnreachable(peer, "no address");
      return;
    }
    HandshakeHello intended =
        new HandshakeHello(HandshakeHello.VERSION, peer.address, HandshakeHello.ANY_INSTANCE);
    RpcConnection connection =
        new RpcConnection(peer, Handshake.forClient(intended), listener, timers, codec, counters);
    ChannelFuture opening =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .disableResolver()
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_SNDBUF, RpcConnection.SEND_BUFFER_BYTES)
            .handler(connection)
            .connect(address);
    Channel channel = opening.channel();
    peer.channel = channel;
    peer.connectDeadlineExtended = false;
    peer.connectDeadline = timers.now() + CONNECT_TIMEOUT_MS;
    peer.connectTimer = timers.schedule(CONNECT_TIMEOUT_MS, () -> onConnectTimeout(peer, channel));
    opening.addListener((ChannelFuture f) -> onConnectDone(peer, connection, f));
  }

  private void onConnectTimeout(Peer peer, Channel channel) {
    if (!peer.connectDeadlineExtended
        && timers.now() - peer.connectDeadline > ConnectionSweeper.STALL_THRESHOLD_MS) {
      peer.connectDeadlineExtended = true;
      peer.connectTimer =
          timers.schedule(KeepaliveMonitor.RECHECK_DELAY_MS, () -> onConnectTimeout(peer, channel));
    } else {
      channel.close();
    }
  }

  private void onConnectDone(Peer peer, RpcConnection connection, ChannelFuture opening) {
    peer.connectTimer.cancel();
    peer.channel = null;
    if (closed || !opening.isSuccess() || !opening.channel().isActive()) {
      opening.channel().close();
      counters.failedConnects++;
      onUnreachable(peer, "no connection");
      return;
    }
    counters.connectionsOpened++;
    peer.connecting = false;
    peer.connection = connection;
    connection.sendHello();
    for (PendingCall call : peer.drainQueue()) {
      if (connection.send(call, call.frame)) {
        call.frame = null;
      } else {
        call.fail(ErrorCode.RESOURCE_EXHAUSTED, "too much on its way to the peer");
      }
    }
    sweepSoon.run();
  }

  private void onUnreachable(Peer peer, String detail) {
    peer.connecting = false;
    peer.backOff(timers.now());
    sweepSoon.run();
    for (PendingCall call : peer.drainQueue()) {
      call.fail(ErrorCode.NOT_SENT, detail);
    }
  }
}
