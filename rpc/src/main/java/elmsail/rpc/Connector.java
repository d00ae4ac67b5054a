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

/** Opens the connections to the peers that are called. */
final class Connector {

  /** Ms. */
  static final long CONNECT_WITHIN = 700;

  private final EventLoop loop;
  private final Timers timers;
  private final Codec codec;
  private final RpcCounters counts;
  private final RpcConnection.Owner owner;

  /** Run when there is something to look after. */
  private final Runnable watch;

  private boolean closed;

  Connector(
      EventLoop loop,
      Timers timers,
      Codec codec,
      RpcCounters counts,
      RpcConnection.Owner owner,
      Runnable watch) {
    this.loop = loop;
    this.timers = timers;
    this.codec = codec;
    this.counts = counts;
    this.owner = owner;
    this.watch = watch;
  }

  /** No connection is opened any more. */
  void close() {
    closed = true;
  }

  /** Opens the peer's connection; the calls that wait for it go out, or fail UNSENT. */
  void connect(Peer peer) {
    if (closed) {
      unreachable(peer, "closed");
      return;
    }
    InetSocketAddress address;
    try {
      address = RpcAddress.parse(peer.address);
    } catch (ElmsailException e) {
      unreachable(peer, "no address");
      return;
    }
    Hello meant = new Hello(Hello.VERSION, peer.address, Hello.ANY_INSTANCE);
    RpcConnection connection =
        new RpcConnection(peer, Handshake.ofCaller(meant), owner, timers, codec, counts);
    ChannelFuture opening =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .disableResolver()
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_SNDBUF, RpcConnection.SEND_BYTES)
            .handler(connection)
            .connect(address);
    Channel channel = opening.channel();
    peer.channel = channel;
    peer.looked = false;
    peer.connectDueAt = timers.now() + CONNECT_WITHIN;
    peer.connectTimer = timers.after(CONNECT_WITHIN, () -> connectDue(peer, channel));
    opening.addListener((ChannelFuture f) -> connected(peer, connection, f));
  }

  private void connectDue(Peer peer, Channel channel) {
    if (!peer.looked && timers.now() - peer.connectDueAt > ConnectionSweeper.HELD_UP) {
      peer.looked = true;
      peer.connectTimer = timers.after(Liveness.LOOK_FOR, () -> connectDue(peer, channel));
    } else {
      channel.close();
    }
  }

  private void connected(Peer peer, RpcConnection connection, ChannelFuture opening) {
    peer.connectTimer.cancel();
    peer.channel = null;
    if (closed || !opening.isSuccess() || !opening.channel().isActive()) {
      opening.channel().close();
      counts.refusedConnects++;
      unreachable(peer, "no connection");
      return;
    }
    counts.links++;
    peer.connecting = false;
    peer.connection = connection;
    connection.sayHello();
    for (PendingCall call : peer.takeWaiting()) {
      if (connection.send(call, call.frame)) {
        call.frame = null;
      } else {
        call.fail(ErrorCode.FULL, "too much on its way to the peer");
      }
    }
    watch.run();
  }

  private void unreachable(Peer peer, String detail) {
    peer.connecting = false;
    peer.rest(timers.now());
    watch.run();
    for (PendingCall call : peer.takeWaiting()) {
      call.fail(ErrorCode.UNSENT, detail);
    }
  }
}
