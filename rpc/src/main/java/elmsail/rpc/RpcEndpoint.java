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
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
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

  /** All in ms. */
  static final long SWEEP_SOON = 200;

  static final long SWEEP_LATER = 1_000;

  /** A timer that is later than that tells of a process that was held up. */
  static final long HELD_UP = 100;

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
  private final Connector connector;
  private String ownAddress;
  private Channel listener;
  private boolean closed;
  private long numbers;
  private int ownCalls;
  private Timers.Timer sweepTimer;
  private long sweepAt;

  /**
   * @param ownAddress "ip:port" to listen at; port 0 lets the system choose, see {@link #address()}
   */
  public RpcEndpoint(EventLoop loop, Timers timers, String ownAddress) {
    this.loop = loop;
    this.timers = timers;
    this.ownAddress = ownAddress;
    this.connector = new Connector(loop, timers, codec, counts, owner, this::watchSoon);
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
          callSelf(call, codec.copy(request));
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
    if (peer.link != null) {
      if (peer.link.send(call, call.frame)) {
        call.frame = null;
        watchSoon();
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

  private void callSelf(PendingCall call, Object request) {
    if (ownCalls >= RpcConnection.MOST_ASKS) {
      failSoon(call, ErrorCode.FULL, "too many calls to oneself");
      return;
    }
    ownCalls++;
    timers.soon(
        () -> {
          if (closed) {
            ownCalls--;
            call.fail(ErrorCode.BROKEN, "closed");
            return;
          }
          counts.asks++;
          answers
              .handle(request)
              .whenComplete((answer, thrown) -> timers.soon(() -> ownAnswer(call, answer, thrown)));
        });
  }

  private void ownAnswer(PendingCall call, Object answer, Throwable thrown) {
    ownCalls--;
    if (thrown != null) {
      call.refused(ElmsailException.codeOf(thrown));
      return;
    }
    try {
      call.answered(codec.copy(answer));
    } catch (ElmsailException e) {
      call.refused(e.code());
    }
  }

  private void failSoon(PendingCall call, ErrorCode code, String detail) {
    call.timer.cancel();
    timers.soon(() -> call.fail(code, detail));
  }

  private void due(String address, PendingCall call) {
    if (!call.looked && timers.now() - call.dueAt > HELD_UP) {
      call.looked = true;
      call.timer = timers.after(RpcConnection.LOOK_FOR, () -> due(address, call));
      return;
    }
    if (call.link != null) {
      call.link.forget(call);
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

  /** Sees to it that the links are looked after before long. */
  private void watchSoon() {
    long at = timers.now() + SWEEP_SOON;
    if (!closed && (sweepTimer == null || sweepAt > at)) {
      watch(at);
    }
  }

  private void watch(long at) {
    if (sweepTimer != null) {
      sweepTimer.cancel();
    }
    sweepAt = at;
    sweepTimer = timers.after(at - timers.now(), this::sweep);
  }

  private void sweep() {
    sweepTimer = null;
    long now = timers.now();
    long late = now - sweepAt;
    List<RpcConnection> links = new ArrayList<>(accepted);
    Iterator<Peer> all = peers.values().iterator();
    while (all.hasNext()) {
      Peer peer = all.next();
      if (peer.link != null) {
        links.add(peer.link);
      } else if (peer.unused(now)) {
        all.remove();
      }
    }
    boolean busy = false;
    for (RpcConnection link : links) {
      if (late > HELD_UP) {
        link.forgive(late);
      }
      busy |= link.sweep();
    }
    if (!links.isEmpty() || !peers.isEmpty()) {
      watch(now + (busy ? SWEEP_SOON : SWEEP_LATER));
    }
  }

  /**
   * Closes all connections; open calls fail soon after, with BROKEN, those that wait with UNSENT.
   */
  @Override
  public void close() {
    closed = true;
    connector.close();
    if (sweepTimer != null) {
      sweepTimer.cancel();
    }
    if (listener != null) {
      listener.close();
    }
    for (RpcConnection link : new ArrayList<>(accepted)) {
      link.close();
    }
    for (Peer peer : new ArrayList<>(peers.values())) {
      if (peer.link != null) {
        peer.link.close();
      }
      if (peer.channel != null) {
        peer.channel.close();
      }
    }
  }

  private final class Hub implements RpcConnection.Owner {
    @Override
    public void asked(RpcConnection link, Frame frame) {
      Object request = codec.read(frame.type(), frame.payload(), 0, frame.payload().length);
      counts.asks++;
      if (!link.beginAsk()) {
        link.refuse(frame.call());
        return;
      }
      answers
          .handle(request)
          .whenComplete(
              (answer, thrown) -> {
                if (loop.inEventLoop()) {
                  answer(link, frame.call(), answer, thrown);
                } else {
                  loop.execute(() -> answer(link, frame.call(), answer, thrown));
                }
              });
    }

    private void answer(RpcConnection link, long call, Object answer, Throwable thrown) {
      if (thrown == null) {
        link.answer(call, answer);
      } else {
        link.fail(call, ElmsailException.codeOf(thrown));
      }
    }

    @Override
    public void closed(RpcConnection link) {
      if (link.peer == null) {
        accepted.remove(link);
      } else if (link.peer.link == link) {
        link.peer.link = null;
        if (link.everHeard()) {
          link.peer.welcome();
          link.peer.retryAt = timers.now();
        } else {
          link.peer.rest(timers.now());
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
      RpcConnection link = new RpcConnection(null, owner, timers, codec, counts);
      accepted.add(link);
      channel.pipeline().addLast(link);
      watchSoon();
    }
  }
}
