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
import willowdoor.front.requests.PolicyDriver;
import willowdoor.policy.GatewayApi.BackendEntry;
import willowdoor.policy.GatewayApi.Phase;
import willowdoor.policy.GatewayApi.Status;

/**
 * Holds the connections to the backends and starts attempts on them. The pool neither selects
 * backends nor retries attempts.
 */
public final class BackendPool implements PolicyDriver.Backends {

  /**
   * An idle connection is closed at this share of the backends' idle timeout, well before the
   * backends close it.
   */
  private static final double RETIRE_SHARE = 0.6;

  private static final long SWEEP_MS = 500;

  /**
   * A connect that completes this long after its timeout was delayed by this process. The backend
   * list may have changed meanwhile.
   */
  private static final double CONNECT_SLACK_MS = 50;

  /**
   * The minimum idle time of a connection between a response and the next request, in milliseconds.
   * The protocol does not tie a response to its request, and a duplicate response may arrive some
   * milliseconds late.
   */
  static final double REUSE_DELAY_MS = 20;

  /**
   * Unsolicited data on a connection idle for longer than this is not a late response but a notice
   * that the backend closes the connection.
   */
  private static final double MAX_LATE_RESPONSE_MS = 200;

  /** The address and connections of one backend. */
  static final class Backend {
    private final long id;
    private SocketAddress address;
    private double startedMs;

    /**
     * Incremented whenever the open connections must not be used any more: a connection of an
     * earlier generation carries no new request.
     */
    private int generation;

    /**
     * The minimum idle time before reuse: raised to twice the longest delay seen of a late
     * response.
     */
    private double reuseDelayMs;

    /**
     * Used as a stack: the connection used last is used next, so the other connections age and are
     * closed.
     */
    private final ArrayDeque<BackendConnection> idle = new ArrayDeque<>();

    private final Set<Attempt> connecting = new HashSet<>();

    Backend(long id, double reuseDelayMs) {
      this.id = id;
      this.reuseDelayMs = reuseDelayMs;
    }
  }

  private final Clock clock;
  private final Bootstrap bootstrap;

  /** Zero for in-process channels, where no response arrives late. */
  private final double reuseDelayMs;

  private final double connectLimitMs;
  private final double idleLimitMs;
  private final Map<Long, Backend> backends = new HashMap<>();
  private final EventCounters counters;

  /**
   * The limit of connections to backends, including idle ones: the pool's share of the process's
   * file descriptors.
   */
  private final int maxConnections;

  private int connections;

  /** The policy module's decision which backends receive no new requests. */
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
   * Applies the backend addresses from discovery. Backends that are draining or removed lose their
   * unused connections.
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
        cancelUnsent(e.id());
      }
    }
    if (update.full()) {
      List.copyOf(backends.keySet()).stream()
          .filter(id -> !listed.contains(id))
          .forEach(this::remove);
    }
  }

  /**
   * Removes a backend. Enforces the drain rule: an attempt that is still waiting for its connection
   * is not written any more.
   */
  private void remove(long id) {
    cancelUnsent(id);
    backends.remove(id);
  }

  /** Ends all attempts that have not reached the backend yet. Attempts already written continue. */
  @Override
  public void cancelUnsent(long id) {
    Backend b = backends.get(id);
    if (b != null) {
      b.generation++;
      List.copyOf(b.idle).forEach(BackendConnection::close);
      List.copyOf(b.connecting).forEach(a -> a.abandon(Status.UNREACHABLE));
    }
  }

  /** The number of open and opening connections, including idle ones. */
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

  /** The remaining time of an attempt. */
  double leftMs(Attempt attempt) {
    return Math.max(0, attempt.deadlineMs() - clock.now());
  }

  /**
   * Whether the attempt must not be written any more. An attempt with a write deadline is also too
   * late while its client has still to send the rest of the body.
   */
  private boolean tooLate(Attempt attempt) {
    boolean bound = attempt.writeDeadlineMs() < Double.POSITIVE_INFINITY;
    return leftMs(attempt) == 0
        || clock.now() > attempt.writeDeadlineMs()
        || bound && !attempt.message().whole();
  }

  /**
   * Takes the most recently used connection that was idle for the minimum time, unless the
   * connection was idle so long that the backend may be closing it.
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

  /** Handles unsolicited data on a connection. */
  void onUnsolicitedData(BackendConnection c) {
    double late = clock.now() - c.idleSince;
    if (c.backend.idle.remove(c) && late <= MAX_LATE_RESPONSE_MS) {
      c.backend.reuseDelayMs = Math.max(c.backend.reuseDelayMs, 2 * late);
    }
  }

  private void connect(Backend b, Attempt attempt) {
    b.connecting.add(attempt);
    BackendConnection c = new BackendConnection(this, b, b.generation, counters);
    double left = Math.min(leftMs(attempt), attempt.writeDeadlineMs() - clock.now());
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
    attempt.connectingChannel(connected.channel());
    Transport.whenConnected(
        connected,
        f -> {
          b.connecting.remove(attempt);
          // Do not write an attempt that has timed out, was cancelled or must not reach a drained
          // backend. This includes a backend whose drain the loop has not read yet after a pause.
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
