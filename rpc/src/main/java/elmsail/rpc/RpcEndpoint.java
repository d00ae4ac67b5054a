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
 * Inner calls over TCP: one connection to each peer, opened when needed, for all calls to it.
 * Everything, the constructor and {@code on} apart, is called on the loop, and all futures complete
 * there.
 */
public final class RpcEndpoint implements Caller, RequestHandlers, AutoCloseable {

  static final int MOST_ACCEPTED = 4_096;
  private static final int BACKLOG = 512;

  private final EventLoop loop;
  private final Timers timers;
  private final Codec codec = new Codec();
  private final RpcCounters counts = new RpcCounters();
  private final HandlerTable answers = new HandlerTable();
  private final Map<String, Peer> peers = new HashMap<>();
  private final Set<RpcConnection> accepted = new LinkedHashSet<>();
  private final RpcConnection.Owner owner = new Hub();
  private final ConnectionSweeper sweeper;
  private final Connector connector;
  private final SelfCalls selfCalls;

  /** Drawn at each start: tells the instances of a process at one address apart. */
  private final long instanceId;

  private String ownAddress;
  private Channel listener;
  private boolean closed;
  private long numbers;

  /**
   * @param ownAddress "ip:port" to listen at; port 0 lets the system choose, see {@connection
   *     #address()}
   */
  public RpcEndpoint(EventLoop loop, Timers timers, String ownAddress) {
    this.loop = loop;
    this.timers = timers;
    this.ownAddress = ownAddress;
    this.instanceId = drawInstanceId();
    this.selfCalls = new SelfCalls(timers, codec, counts, answers);
    this.sweeper = new ConnectionSweeper(timers, this::connectionsInUse, () -> peers.isEmpty());
    this.connector = new Connector(loop, timers, codec, counts, owner, sweeper::soon);
  }

  private static long drawInstanceId() {
    long drawn = new SecureRandom().nextLong();
    return drawn == Hello.ANY_INSTANCE ? 1 : drawn;
  }

  /** Drawn at each start; each connection's hello bears it. */
  public long instanceId() {
    return instanceId;
  }

  /** What has happened on the connections of this endpoint since its start. */
  public RpcCounters counts() {
    return counts;
  }

  /** Where this process answers. */
  public String address() {
    return ownAddress;
  }

  @Override
  public <Q, A> void on(Class<Q> request, Function<Q, ? extends CompletionStage<A>> handler) {
    answers.on(request, handler);
  }

  /** Done once others can connect; fails with BAD_SETTINGS if the address cannot be listened at. */
  public CompletableFuture<Void> listen() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    ServerBootstrap server =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_SNDBUF, RpcConnection.SEND_BYTES)
            .childHandler(new Accepting());
    ChannelFuture bound;
    try {
      bound = server.bind(RpcAddress.parse(ownAddress));
    } catch (ElmsailException e) {
      done.completeExceptionally(e);
      return done;
    }
    listener = bound.channel();
    bound.addListener(
        (ChannelFuture f) -> {
          if (f.isSuccess()) {
            int port = ((InetSocketAddress) f.channel().localAddress()).getPort();
            ownAddress = ownAddress.substring(0, ownAddress.lastIndexOf(':') + 1) + port;
            done.complete(null);
          } else {
            done.completeExceptionally(
                new ElmsailException(
                    ErrorCode.BAD_SETTINGS, "cannot listen at " + ownAddress, f.cause()));
          }
        });
    return done;
  }

  @Override
  public <A> CompletableFuture<A> call(
      String peer, Object request, Class<A> answer, long timeoutMs) {
    counts.calls++;
    long wait = Math.max(0, timeoutMs);
    PendingCall call = new PendingCall(++numbers, answer, timers.now() + wait, counts);
    call.timer = timers.after(wait, () -> due(peer, call));
    if (closed) {
      failSoon(call, ErrorCode.UNSENT, "closed");
    } else {
      try {
        if (peer.equals(ownAddress)) {
          if (!selfCalls.start(call, request)) {
            failSoon(call, ErrorCode.FULL, "too many calls to oneself");
          }
        } else {
          call.frame = Frame.message(codec, Frame.ASK, call.number, request);
          send(peer, call);
        }
      } catch (ElmsailException e) {
        failSoon(call, e.code(), "not a message that can be sent");
      }
    }
    // The future is completed with objects of the class asked for alone: PendingCall checks it.
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
        sweeper.soon();
      } else {
        failSoon(call, ErrorCode.FULL, "too much on its way to the peer");
      }
    } else if (!peer.connecting && now < peer.retryAt) {
      failSoon(call, ErrorCode.UNSENT, "peer could not be reached a moment ago");
    } else if (!peer.queue(call)) {
      failSoon(call, ErrorCode.FULL, "too much waits for the connection");
    } else if (!peer.connecting) {
      peer.connecting = true;
      Peer found = peer;
      loop.execute(() -> connector.connect(found));
    }
  }

  private void failSoon(PendingCall call, ErrorCode code, String detail) {
    call.timer.cancel();
    timers.soon(() -> call.fail(code, detail));
  }

  private void due(String address, PendingCall call) {
    if (!call.looked && timers.now() - call.dueAt > ConnectionSweeper.HELD_UP) {
      call.looked = true;
      call.timer = timers.after(Liveness.LOOK_FOR, () -> due(address, call));
      return;
    }
    if (call.connection != null) {
      call.connection.forget(call);
    } else if (call.frame != null) {
      Peer peer = peers.get(address);
      if (peer != null) {
        peer.unqueue(call);
      }
      call.fail(ErrorCode.UNSENT, "no connection in time");
      return;
    }
    call.fail(ErrorCode.SILENT, "no answer in time");
  }

  private List<RpcConnection> connectionsInUse() {
    List<RpcConnection> connections = new ArrayList<>(accepted);
    long now = timers.now();
    peers.values().removeIf(peer -> peer.unused(now));
    for (Peer peer : peers.values()) {
      if (peer.connection != null) {
        connections.add(peer.connection);
      }
    }
    return connections;
  }

  /**
   * Closes all connections; open calls fail soon after, with BROKEN, those that wait with UNSENT.
   */
  @Override
  public void close() {
    closed = true;
    selfCalls.close();
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

  private final class Hub implements RpcConnection.Owner {
    @Override
    public void asked(RpcConnection connection, Frame frame) {
      Object request = codec.read(frame.type(), frame.payload(), 0, frame.payload().length);
      counts.asks++;
      if (!connection.beginAsk()) {
        connection.refuse(frame.call());
        return;
      }
      answers
          .handle(request)
          .whenComplete(
              (answer, thrown) -> {
                if (loop.inEventLoop()) {
                  answer(connection, frame.call(), answer, thrown);
                } else {
                  loop.execute(() -> answer(connection, frame.call(), answer, thrown));
                }
              });
    }

    private void answer(RpcConnection connection, long call, Object answer, Throwable thrown) {
      if (thrown == null) {
        connection.answer(call, answer);
      } else {
        connection.fail(call, ElmsailException.codeOf(thrown));
      }
    }

    @Override
    public void introduced(RpcConnection connection) {
      if (connection.peer == null) {
        connection.sayHello();
        return;
      }
      Peer peer = connection.peer;
      if (peer.instanceId != Hello.ANY_INSTANCE && peer.instanceId != connection.peerInstanceId()) {
        counts.newInstances++;
      }
      peer.instanceId = connection.peerInstanceId();
    }

    @Override
    public void closed(RpcConnection connection) {
      if (connection.peer == null) {
        accepted.remove(connection);
      } else if (connection.peer.connection == connection) {
        connection.peer.connection = null;
        if (connection.introduced()) {
          connection.peer.welcome();
          connection.peer.retryAt = timers.now();
        } else {
          connection.peer.rest(timers.now());
        }
      }
    }
  }

  private final class Accepting extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      if (closed || accepted.size() >= MOST_ACCEPTED) {
        channel.close();
        return;
      }
      Hello self = new Hello(Hello.VERSION, ownAddress, instanceId);
      RpcConnection connection =
          new RpcConnection(null, Handshake.ofAccepting(self), owner, timers, codec, counts);
      accepted.add(connection);
      channel.pipeline().addLast(connection);
      sweeper.soon();
    }
  }
}
