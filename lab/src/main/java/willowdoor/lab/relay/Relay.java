package willowdoor.lab.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.epoll.EpollDatagramChannel;
import io.netty.channel.epoll.EpollServerSocketChannel;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import willowdoor.lab.net.OwnLoop;

/**
 * All that parties say to each other, passed on with the faults of the moment. Each ordered pair
 * has faces of its own: the address at which one party reaches the other. So each connection and
 * datagram is known by its pair, and a party sees each other one come from one address that only
 * this one has.
 *
 * <p>Its state belongs to one event loop; calls come from any other thread and return once they are
 * in force. A connection that is opened while its pair is cut comes up and stays silent, and goes
 * on once the cut is over.
 */
public final class Relay implements Closeable {

  private static final int MOST_CONNECTIONS = 16_384;
  private static final int RECEIVE_BUFFER = 1 << 20;

  /** Bytes and datagrams that a party sent so far. */
  public record Sent(long datagrams, long datagramBytes, long streamBytes) {

    Sent plus(Pipe pipe) {
      return new Sent(
          datagrams + pipe.datagrams,
          datagramBytes + pipe.datagramBytes,
          streamBytes + pipe.streamBytes);
    }
  }

  /** Where one party calls another: it is closed while the other one is down. */
  private static final class Listener {
    final Pair pair;
    final InetSocketAddress face;
    final InetSocketAddress target;
    Channel channel;

    Listener(Pair pair, InetSocketAddress face, InetSocketAddress target) {
      this.pair = pair;
      this.face = face;
      this.target = target;
    }
  }

  private final long seed;
  private final OwnLoop own = new OwnLoop();
  private final EventLoop loop = own.loop();
  private final Map<Pair, Pipe> pipes = new HashMap<>();
  private final Map<Pair, DatagramWay> datagrams = new HashMap<>();

  /** Opened and closed by the calling threads, one at a time. */
  private final List<Listener> listeners = new ArrayList<>();

  private final Map<Pair, Set<Crossing>> crossings = new HashMap<>();
  private final Unreached unreached = new Unreached();
  private int connections;

  /** Each pair draws from the seed and its names, so its draws do not hang on what others do. */
  public Relay(long seed) {
    this.seed = seed;
  }

  /** The loop that everything passes through, for whoever watches whether it stands still. */
  public EventLoop loop() {
    return loop;
  }

  /** Opens the face at which the caller reaches the one that listens at the target. */
  public synchronized void stream(
      String caller, String called, InetSocketAddress face, InetSocketAddress target)
      throws IOException {
    Listener listener = new Listener(new Pair(caller, called), face, target);
    listeners.add(listener);
    open(listener);
  }

  /**
   * Opens both ways for datagrams between two parties.
   *
   * @param faceOfB where a sends what is for b, and from where it is sent what b says
   * @param faceOfA the same for b
   */
  public void datagrams(
      String a,
      InetSocketAddress addressOfA,
      InetSocketAddress faceOfB,
      String b,
      InetSocketAddress addressOfB,
      InetSocketAddress faceOfA)
      throws IOException {
    Pair pair = new Pair(a, b);
    DatagramWay there = new DatagramWay(loop, call(() -> pipe(pair)), addressOfA, addressOfB);
    DatagramWay back = new DatagramWay(loop, call(() -> pipe(pair.back())), addressOfB, addressOfA);
    Channel atB = bind(faceOfB, there);
    Channel atA = bind(faceOfA, back);
    call(
        () -> {
          there.out(atA);
          back.out(atB);
          datagrams.put(pair, there);
          datagrams.put(pair.back(), back);
          return null;
        });
  }

  /** Changes what happens on each of the ways. */
  public void change(Collection<Pair> pairs, UnaryOperator<Faults> change) throws IOException {
    call(
        () -> {
          for (Pair pair : pairs) {
            Pipe pipe = pipe(pair);
            pipe.change(change.apply(pipe.faults));
          }
          return null;
        });
  }

  /** Resets each connection that the first of a pair has opened to the second. */
  public void reset(Collection<Pair> pairs) throws IOException {
    call(
        () -> {
          for (Pair pair : pairs) {
            new ArrayList<>(crossings.getOrDefault(pair, Set.of())).forEach(Crossing::reset);
          }
          return null;
        });
  }

  /**
   * While a party is down these callers cannot connect to it: its faces refuse as its own address
   * does.
   */
  public synchronized void refuse(String party, Predicate<String> callers, boolean down)
      throws IOException {
    for (Listener listener : listeners) {
      if (listener.pair.to().equals(party)
          && callers.test(listener.pair.from())
          && down == (listener.channel != null)) {
        if (down) {
          listener.channel.close().awaitUninterruptibly();
          listener.channel = null;
        } else {
          open(listener);
        }
      }
    }
  }

  /**
   * Whether what this caller's connection last sent never got to the other side; to be asked for
   * once.
   */
  public boolean unreached(SocketAddress caller) {
    return unreached.take(caller);
  }

  /** Sends the receiver a datagram as if it came from the sender; faults hold for it too. */
  public void forge(Pair pair, byte[] data) throws IOException {
    call(
        () -> {
          DatagramWay way = datagrams.get(pair);
          if (way == null) {
            throw new IOException("no datagrams pass from " + pair.from() + " to " + pair.to());
          }
          way.send(Unpooled.copiedBuffer(data));
          return null;
        });
  }

  /** The first datagrams that the one of a pair sent the other, eight at most. */
  public List<byte[]> first(Pair pair) throws IOException {
    return call(
        () -> datagrams.containsKey(pair) ? List.copyOf(datagrams.get(pair).first()) : List.of());
  }

  /** What each party has sent so far. */
  public Map<String, Sent> sent() throws IOException {
    return call(
        () -> {
          Map<String, Sent> sent = new HashMap<>();
          pipes.forEach(
              (pair, pipe) ->
                  sent.put(
                      pair.from(), sent.getOrDefault(pair.from(), new Sent(0, 0, 0)).plus(pipe)));
          return sent;
        });
  }

  /** Datagrams that came to a face from another address than the one it is for. */
  public long strangers() throws IOException {
    return call(() -> datagrams.values().stream().mapToLong(DatagramWay::strangers).sum());
  }

  private Pipe pipe(Pair pair) {
    return pipes.computeIfAbsent(
        pair,
        p -> {
          RandomGenerator random =
              RandomGeneratorFactory.of("L64X128MixRandom")
                  .create(seed ^ (long) p.from().hashCode() << 32 ^ p.to().hashCode());
          return new Pipe(random);
        });
  }

  private void open(Listener listener) throws IOException {
    Pipe there = call(() -> pipe(listener.pair));
    Pipe back = call(() -> pipe(listener.pair.back()));
    listener.channel =
        bound(
            new ServerBootstrap()
                .group(loop)
                .channel(EpollServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 1_024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(
                    new ChannelInitializer<Channel>() {
                      @Override
                      protected void initChannel(Channel near) {
                        accept(listener, near, there, back);
                      }
                    })
                .bind(listener.face),
            listener.face);
  }

  private void accept(Listener listener, Channel near, Pipe there, Pipe back) {
    if (connections >= MOST_CONNECTIONS) {
      near.config().setOption(ChannelOption.SO_LINGER, 0);
      near.close();
      return;
    }
    connections++;
    own.keep(near);
    Crossing crossing = new Crossing(near, there, back, listener.target, own, unreached);
    Set<Crossing> open = crossings.computeIfAbsent(listener.pair, p -> new LinkedHashSet<>());
    open.add(crossing);
    near.closeFuture()
        .addListener(
            closed -> {
              connections--;
              open.remove(crossing);
            });
  }

  private Channel bind(InetSocketAddress face, ChannelHandler handler) throws IOException {
    return bound(
        new Bootstrap()
            .group(loop)
            .channel(EpollDatagramChannel.class)
            .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER)
            .handler(handler)
            .bind(face),
        face);
  }

  private Channel bound(ChannelFuture bind, InetSocketAddress face) throws IOException {
    if (!bind.awaitUninterruptibly().isSuccess()) {
      throw new IOException("cannot listen at " + face + " for the relay", bind.cause());
    }
    return own.keep(bind.channel());
  }

  private <T> T call(Callable<T> work) throws IOException {
    try {
      return loop.submit(work).get(30, TimeUnit.SECONDS);
    } catch (ExecutionException e) {
      throw new IOException(e.getCause().getMessage(), e.getCause());
    } catch (TimeoutException e) {
      throw new IOException("the relay stands still", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  @Override
  public void close() {
    own.close();
  }
}
