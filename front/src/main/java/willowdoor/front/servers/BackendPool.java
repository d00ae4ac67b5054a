package willowdoor.front.servers;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;
import willowdoor.front.discovery.BackendListUpdate;
import willowdoor.front.loop.Clock;
import willowdoor.front.loop.EventCounters;
import willowdoor.front.loop.Transport;
import willowdoor.front.requests.Attempt;
import willowdoor.front.requests.ModuleDriver;
import willowdoor.policy.GatewayApi.BackendEntry;
import willowdoor.policy.GatewayApi.Phase;
import willowdoor.policy.GatewayApi.Status;

/**
 * The connections to the backends, and the attempts on them. It picks no backend and repeats
 * nothing.
 */
public final class BackendPool implements ModuleDriver.Servers {

  /**
   * An idle connection is retired at this share of the backends' own limit, well before they close
   * it.
   */
  private static final double RETIRE_SHARE = 0.6;

  private static final long SWEEP_MS = 500;

  /**
   * A connect that is told so long after its limit waited for this process: the list may be a new
   * one.
   */
  private static final double CONNECT_SLACK_MS = 50;

  /**
   * A connection rests so long behind an answer before it carries another request, in milliseconds:
   * nothing in the protocol ties an answer to its request, and a second one may come some
   * milliseconds late.
   */
  static final double REUSE_DELAY_MS = 20;

  /**
   * What comes unasked on a connection that rested longer is no late answer, but word of its
   * closing.
   */
  private static final double MAX_LATE_RESPONSE_MS = 200;

  /** One backend's place and connections. */
  static final class Backend {
    private final long id;
    private SocketAddress address;
    private double startedMs;

    /**
     * Goes up whenever what is open ends its use: a connection of an earlier one carries nothing
     * new.
     */
    private int generation;

    /** Twice as long as anything of it was late, if that was seen. */
    private double reuseDelayMs;

    /** The last one in was used last, and is used next: the others grow old and are retired. */
    private final ArrayDeque<BackendConnection> idle = new ArrayDeque<>();

    private final Set<Attempt> connecting = new HashSet<>();

    Backend(long id, double reuseDelayMs) {
      this.id = id;
      this.reuseDelayMs = reuseDelayMs;
    }
  }

  private final Clock clock;
  private final Bootstrap bootstrap;

  /** Within a process nothing is late. */
  private final double reuseDelayMs;

  private final double connectLimitMs;
  private final double idleLimitMs;
  private final Map<Long, Backend> backends = new HashMap<>();
  private final EventCounters counters;

  /**
   * All connections to backends, idle ones too: their part of the descriptors that the process may
   * hold.
   */
  private final int maxConnections;

  private int connections;

  /** The module's word on backends that get nothing new. */
  private final LongPredicate excluded;

  public BackendPool(
      EventLoop loop,
      Transport transport,
      Clock clock,
      EventCounters counters,
      LongPredicate excluded,
      int maxConnections,
      double connectLimitMs,
      double idleLimitMs) {
    this.clock = clock;
    this.counters = counters;
    this.excluded = excluded;
    this.maxConnections = maxConnections;
    reuseDelayMs = transport.tcp() ? REUSE_DELAY_MS : 0;
    this.connectLimitMs = connectLimitMs;
    this.idleLimitMs = idleLimitMs * RETIRE_SHARE;
    bootstrap =
        transport
            .client(loop)
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, Transport.WRITE_BUFFER_LIMITS)
            .option(ChannelOption.RECVBUF_ALLOCATOR, Transport.readBufferAllocator());
    loop.scheduleWithFixedDelay(this::retireIdle, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Takes the places that discovery tells; backends that drain or are gone lose their unused
   * connections.
   */
  @Override
  public void onRoster(BackendListUpdate update) {
    Set<Long> listed = new HashSet<>();
    for (BackendEntry e : update.entries()) {
      listed.add(e.id());
      if (e.phase() != Phase.SERVING) {
        remove(e.id());
        continue;
      }
      Backend b = backends.computeIfAbsent(e.id(), id -> new Backend(id, reuseDelayMs));
      SocketAddress address = update.addresses().get(e.id());
      if (!address.equals(b.address) || b.startedMs != e.startedMs()) {
        b.address = address;
        b.startedMs = e.startedMs();
        cut(e.id());
      }
    }
    if (update.full()) {
      List.copyOf(backends.keySet()).stream()
          .filter(id -> !listed.contains(id))
          .forEach(this::remove);
    }
  }

  /**
   * Guards the rule on drains: an attempt that still waits for its connection is not written any
   * more.
   */
  private void remove(long id) {
    cut(id);
    backends.remove(id);
  }

  /** Ends all that has not reached the backend yet; what is under way goes on. */
  @Override
  public void cut(long id) {
    Backend b = backends.get(id);
    if (b != null) {
      b.generation++;
      List.copyOf(b.idle).forEach(BackendConnection::close);
      List.copyOf(b.connecting).forEach(a -> a.abandon(Status.UNREACHABLE));
    }
  }

  /** Open and opening connections, idle ones too. */
  public int connections() {
    return connections;
  }

  public boolean hasBackends() {
    return !backends.isEmpty();
  }

  /** Starts an attempt on an idle connection, or on a new one. */
  @Override
  public void start(long id, Attempt attempt) {
    Backend b = backends.get(id);
    if (b == null || excluded.test(id) || tooLate(attempt)) {
      attempt.end(Status.UNREACHABLE, null, null);
      return;
    }
    BackendConnection c = takeIdle(b);
    if (c != null) {
      c.send(attempt);
    } else if (connections >= maxConnections && !closeOneIdle()) {
      counters.count(EventCounters.Event.BACKENDS_FULL);
      attempt.end(Status.UNREACHABLE, null, null);
    } else {
      connect(b, attempt);
    }
  }

  /** What is left of an attempt's time. */
  double leftMs(Attempt attempt) {
    return Math.max(0, attempt.endsAt() - clock.now());
  }

  /**
   * Whether it must not be written any more; one whose end has still to come from its client can be
   * late.
   */
  private boolean tooLate(Attempt attempt) {
    boolean bound = attempt.writtenBy() < Double.POSITIVE_INFINITY;
    return leftMs(attempt) == 0
        || clock.now() > attempt.writtenBy()
        || bound && !attempt.message().whole();
  }

  /**
   * Of those that have rested the one used last, unless the backend may be closing it after so
   * long.
   */
  private BackendConnection takeIdle(Backend b) {
    double now = clock.now();
    for (Iterator<BackendConnection> all = b.idle.descendingIterator(); all.hasNext(); ) {
      BackendConnection c = all.next();
      if (now - c.idleSince >= b.reuseDelayMs) {
        all.remove();
        if (now - c.idleSince <= idleLimitMs && c.usable() && c.nothingToRead()) {
          return c;
        }
        c.close();
      }
    }
    return null;
  }

  /** Something came on it that nobody asked for. */
  void onUnsolicitedData(BackendConnection c) {
    double late = clock.now() - c.idleSince;
    if (c.backend.idle.remove(c) && late <= MAX_LATE_RESPONSE_MS) {
      c.backend.reuseDelayMs = Math.max(c.backend.reuseDelayMs, 2 * late);
    }
  }

  private void connect(Backend b, Attempt attempt) {
    b.connecting.add(attempt);
    BackendConnection c = new BackendConnection(this, b, b.generation, counters);
    double left = Math.min(leftMs(attempt), attempt.writtenBy() - clock.now());
    int limit = (int) Math.ceil(Math.min(connectLimitMs, Math.max(1, left)));
    double connectDeadline = clock.now() + limit + CONNECT_SLACK_MS;
    Bootstrap limited = bootstrap.clone().option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limit);
    ChannelFuture connected =
        limited
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    connections++;
                    channel.closeFuture().addListener(f -> connections--);
                    channel.pipeline().addLast(c.decoder(), new HttpRequestEncoder(), c);
                  }
                })
            .connect(b.address);
    attempt.connecting(connected.channel());
    Transport.whenConnected(
        connected,
        f -> {
          b.connecting.remove(attempt);
          // Guards against writing what has timed out, was cancelled or must not reach a drained
          // backend, also
          // one of whose drain the loop has still to read behind a pause.
          if (attempt.ended()
              || excluded.test(b.id)
              || tooLate(attempt)
              || clock.now() > connectDeadline) {
            f.channel().close();
            attempt.end(Status.UNREACHABLE, null, null);
          } else if (f.isSuccess()) {
            c.send(attempt);
          } else {
            attempt.end(Status.UNREACHABLE, null, null);
          }
        });
  }

  void release(BackendConnection c) {
    Backend b = c.backend;
    if (backends.get(b.id) == b && c.generation == b.generation && !excluded.test(b.id)) {
      c.idleSince = clock.now();
      b.idle.addLast(c);
    } else {
      c.close();
    }
  }

  void onClosed(BackendConnection c) {
    c.backend.idle.remove(c);
  }

  private void retireIdle() {
    double before = clock.now() - idleLimitMs;
    for (Backend b : backends.values()) {
      while (!b.idle.isEmpty() && b.idle.peekFirst().idleSince < before) {
        b.idle.pollFirst().close();
      }
    }
  }

  private boolean closeOneIdle() {
    for (Backend b : backends.values()) {
      BackendConnection c = b.idle.pollFirst();
      if (c != null) {
        c.close();
        return true;
      }
    }
    return false;
  }
}
