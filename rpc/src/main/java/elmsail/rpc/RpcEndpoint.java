package elmsail.rpc;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Timers;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

/**
 * The RPC client and server of a process: one TCP connection to each peer, opened on demand,
 * carries all calls to it. Everything but the constructor and {@code register} is called on the
 * event loop, and all futures complete there.
 */
public final class RpcEndpoint implements RpcClient, RequestHandlers, AutoCloseable {

  static final int MAX_ACCEPTED_CONNECTIONS = 4_096;
  private static final int LISTEN_BACKLOG = 512;

  private final EventLoop loop;
  private final Timers timers;
  private final MessageCodec codec = new MessageCodec();
  private final RpcCounters counters = new RpcCounters();
  private final HandlerRegistry handlers = new HandlerRegistry();
  private final Map<String, Peer> peers = new HashMap<>();
  private final Set<RpcConnection> accepted = new LinkedHashSet<>();
  private final RpcConnection.Listener connectionListener = new ConnectionListener();
  private final ConnectionSweeper sweeper;
  private final Connector connector;
  private final LoopbackCalls loopbackCalls;

  /** Drawn at random at each start: distinguishes the processes that use one address in turn. */
  private final long instanceId;

  private String localAddress;
  private Channel listener;
  private boolean closed;
  private long lastCallId;

  /**
   * @param ownAddress "ip:port" to listen at; port 0 lets the system choose, see {@link #address()}
   */
  public RpcEndpoint(EventLoop loop, Timers timers, String ownAddress) {
    this.loop = loop;
    this.timers = timers;
    this.localAddress = ownAddress;
    this.instanceId = drawInstanceId();
    this.loopbackCalls = new LoopbackCalls(timers, codec, counters, handlers);
    this.sweeper = new ConnectionSweeper(timers, this::connectionsInUse, () -> peers.isEmpty());
    this.connector =
        new Connector(loop, timers, codec, counters, connectionListener, sweeper::sweepSoon);
  }

  private static long drawInstanceId() {
    long drawn = new SecureRandom().nextLong();
    return drawn == HandshakeHello.ANY_INSTANCE ? 1 : drawn;
  }

  /** This process's instance, drawn at random at each start and sent in each hello. */
  public long instanceId() {
    return instanceId;
  }

  /** The counters of this endpoint's connections since its start. */
  public RpcCounters counters() {
    return counters;
  }

  /** The address that this process listens on, "ip:port". */
  public String address() {
    return localAddress;
  }

  @Override
  public <Q, A> void register(Class<Q> request, Function<Q, ? extends CompletionStage<A>> handler) {
    handlers.register(request, handler);
  }

  /**
   * Binds the address.
   *
   * @return completes once peers can connect; fails with {@code INVALID_SETTINGS} if the address
   *     cannot be bound
   */
  public CompletableFuture<Void> listen() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    ServerBootstrap server =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_SNDBUF, RpcConnection.SEND_BUFFER_BYTES)
            .childHandler(new AcceptedConnectionInitializer());
    ChannelFuture bound;
    try {
      bound = server.bind(RpcAddress.parse(localAddress));
    } catch (ElmsailException e) {
      done.completeExceptionally(e);
      return done;
    }
    listener = bound.channel();
    bound.addListener(
        (ChannelFuture f) -> {
          if (f.isSuccess()) {
            int port = ((InetSocketAddress) f.channel().localAddress()).getPort();
            localAddress = localAddress.substring(0, localAddress.lastIndexOf(':') + 1) + port;
            done.complete(null);
          } else {
            done.completeExceptionally(
                new ElmsailException(
                    ErrorCode.INVALID_SETTINGS, "cannot bind " + localAddress, f.cause()));
          }
        });
    return done;
  }

  @Override
  public <A> CompletableFuture<A> call(
      String peer, Object request, Class<A> response, long timeoutMs) {
    counters.calls++;
    long wait = Math.max(0, timeoutMs);
    PendingCall call = new PendingCall(++lastCallId, response, timers.now() + wait, counters);
    call.timer = timers.schedule(wait, () -> onDeadline(peer, call));
    if (closed) {
      failAsync(call, ErrorCode.NOT_SENT, "closed");
    } else {
      try {
        if (peer.equals(localAddress)) {
          if (!loopbackCalls.start(call, request)) {
            failAsync(call, ErrorCode.RESOURCE_EXHAUSTED, "too many calls to oneself");
          }
        } else {
          call.frame = Frame.message(codec, Frame.REQUEST, call.callId, request);
          send(peer, call);
        }
      } catch (ElmsailException e) {
        failAsync(call, e.code(), "not a message that can be sent");
      }
    }
    // PendingCall completes the future only with objects of the requested class.
    @SuppressWarnings("unchecked")
    CompletableFuture<A> future = (CompletableFuture<A>) call.future;
    return future;
  }

  private void send(String address, PendingCall call) {
    long now = timers.now();
    Peer peer = peers.get(address);
    if (peer == null) {
      peer = new Peer(address, now);
      peers.put(address, peer);
    }
    if (peer.connection != null) {
      if (peer.connection.send(call, call.frame)) {
        call.frame = null;
        sweeper.sweepSoon();
      } else {
        failAsync(call, ErrorCode.RESOURCE_EXHAUSTED, "too much on its way to the peer");
      }
    } else if (!peer.connecting && now < peer.nextAttemptAt) {
      failAsync(call, ErrorCode.NOT_SENT, "peer could not be reached a moment ago");
    } else if (!peer.enqueue(call)) {
      failAsync(call, ErrorCode.RESOURCE_EXHAUSTED, "too much waits for the connection");
    } else if (!peer.connecting) {
      peer.connecting = true;
      Peer found = peer;
      loop.execute(() -> connector.connect(found));
    }
  }

  private void failAsync(PendingCall call, ErrorCode code, String detail) {
    call.timer.cancel();
    timers.execute(() -> call.fail(code, detail));
  }

  private void onDeadline(String address, PendingCall call) {
    if (!call.deadlineExtended
        && timers.now() - call.deadline > ConnectionSweeper.STALL_THRESHOLD_MS) {
      call.deadlineExtended = true;
      call.timer =
          timers.schedule(KeepaliveMonitor.RECHECK_DELAY_MS, () -> onDeadline(address, call));
      return;
    }
    if (call.connection != null) {
      call.connection.abandon(call);
    } else if (call.frame != null) {
      Peer peer = peers.get(address);
      if (peer != null) {
        peer.dequeue(call);
      }
      call.fail(ErrorCode.NOT_SENT, "no connection in time");
      return;
    }
    call.fail(ErrorCode.TIMEOUT, "no answer in time");
  }

  private List<RpcConnection> connectionsInUse() {
    List<RpcConnection> connections = new ArrayList<>(accepted);
    long now = timers.now();
    peers.values().removeIf(peer -> peer.isExpired(now));
    for (Peer peer : peers.values()) {
      if (peer.connection != null) {
        connections.add(peer.connection);
      }
    }
    return connections;
  }

  /**
   * Closes all connections. Calls in flight fail with {@code CONNECTION_LOST}, queued ones with
   * {@code NOT_SENT}.
   */
  @Override
  public void close() {
    closed = true;
    loopbackCalls.close();
    connector.close();
    sweeper.close();
    if (listener != null) {
      listener.close();
    }
    for (RpcConnection connection : new ArrayList<>(accepted)) {
      connection.close();
    }
    for (Peer peer : new ArrayList<>(peers.values())) {
      if (peer.connection != null) {
        peer.connection.close();
      }
      if (peer.channel != null) {
        peer.channel.close();
      }
    }
  }

  private final class ConnectionListener implements RpcConnection.Listener {
    @Override
    public void onRequest(RpcConnection connection, Frame frame) {
      Object request = codec.read(frame.type(), frame.payload(), 0, frame.payload().length);
      counters.requestsReceived++;
      if (!connection.tryBeginRequest()) {
        connection.rejectRequest(frame.callId());
        return;
      }
      handlers
          .handle(request)
          .whenComplete(
              (response, thrown) -> {
                if (loop.inEventLoop()) {
                  respond(connection, frame.callId(), response, thrown);
                } else {
                  loop.execute(() -> respond(connection, frame.callId(), response, thrown));
                }
              });
    }

    private void respond(RpcConnection connection, long callId, Object response, Throwable thrown) {
      if (thrown == null) {
        connection.respond(callId, response);
      } else {
        connection.respondFailure(callId, ElmsailException.codeOf(thrown));
      }
    }

    @Override
    public void onHandshakeComplete(RpcConnection connection) {
      if (connection.peer == null) {
        connection.sendHello();
        return;
      }
      Peer peer = connection.peer;
      if (peer.instanceId != HandshakeHello.ANY_INSTANCE
          && peer.instanceId != connection.peerInstanceId()) {
        counters.newInstances++;
      }
      peer.instanceId = connection.peerInstanceId();
    }

    @Override
    public void onClosed(RpcConnection connection) {
      if (connection.peer == null) {
        accepted.remove(connection);
      } else if (connection.peer.connection == connection) {
        connection.peer.connection = null;
        if (connection.isHandshakeComplete()) {
          connection.peer.resetBackoff();
          connection.peer.nextAttemptAt = timers.now();
        } else {
          connection.peer.backOff(timers.now());
        }
      }
    }
  }

  private final class AcceptedConnectionInitializer extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      if (closed || accepted.size() >= MAX_ACCEPTED_CONNECTIONS) {
        channel.close();
        return;
      }
      HandshakeHello localHello =
          new HandshakeHello(HandshakeHello.VERSION, localAddress, instanceId);
      RpcConnection connection =
          new RpcConnection(
              null, Handshake.forServer(localHello), connectionListener, timers, codec, counters);
      accepted.add(connection);
      channel.pipeline().addLast(connection);
      sweeper.sweepSoon();
    }
  }
}
