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
import willowdoor.front.discovery.RosterNews;
import willowdoor.front.loop.Clock;
import willowdoor.front.loop.Tally;
import willowdoor.front.loop.Transport;
import willowdoor.front.requests.Attempt;
import willowdoor.front.requests.PolicyDriver;
import willowdoor.policy.GatewayApi.BackendEntry;
import willowdoor.policy.GatewayApi.Phase;
import willowdoor.policy.GatewayApi.Status;

/**
 * The connections to the backends, and the attempts on them. It picks no backend and repeats
 * nothing.
 */
public final class BackendPool implements PolicyDriver.Backends {

  /**
   * An idle connection is retired at this share of the backends' own limit, well before they close
   * it.
   */
  private static final double RETIRE_AT = 0.6;

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
  static final double REST_MS = 20;

  /**
   * What comes unasked on a connection that rested longer is no late answer, but word of its
   * closing.
   */
  private static final double LATE_MS = 200;

  /** One backend's place and connections. */
  static final class Backend {
    private final long id;
    private SocketAddress place;
    private double startedMs;

    /**
     * Goes up whenever what is open ends its use: a connection of an earlier one carries nothing
     * new.
     */
    private int generation;

    /** Twice as long as anything of it was late, if that was seen. */
    private double restMs;

    /** The last one in was used last, and is used next: the others grow old and are retired. */
    private final ArrayDeque<BackendConnection> idle = new ArrayDeque<>();

    private final Set<Attempt> connecting = new HashSet<>();

    Backend(long id, double restMs) {
      this.id = id;
      this.restMs = restMs;
    }
  }

  private final Clock clock;
  private final Bootstrap bootstrap;

  /** Within a process nothing is late. */
  private final double restMs;

  private final double connectLimitMs;
  private final double idleLimitMs;
  private final Map<Long, Backend> backends = new HashMap<>();
  private final Tally tally;

  /**
   * All connections to backends, idle ones too: their part of the descriptors that the process may
   * hold.
   */
  private final int most;

  private int connections;

  /** The module's word on backends that get nothing new. */
  private final LongPredicate banned;

  public BackendPool(
      EventLoop loop,
      Transport transport,
      Clock clock,
      Tally tally,
      LongPredicate banned,
      int most,
      double connectLimitMs,
      double idleLimitMs) {
    this.clock = clock;
    this.tally = tally;
    this.banned = banned;
    this.most = most;
    restMs = transport.tcp() ? REST_MS : 0;
    this.connectLimitMs = connectLimitMs;
    this.idleLimitMs = idleLimitMs * RETIRE_AT;
    bootstrap =
        transport
            .client(loop)
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, Transport.QUEUE)
            .option(ChannelOption.RECVBUF_ALLOCATOR, Transport.piece());
    loop.scheduleWithFixedDelay(this::retireIdle, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Takes the places that discovery tells; backends that drain or are gone lose their unused
   * connections.
   */
  @Override
  public void onRoster(RosterNews news) {
    Set<Long> named = new HashSet<>();
    for (BackendEntry e : news.entries()) {
      named.add(e.id());
      if (e.phase() != Phase.SERVING) {
        remove(e.id());
        continue;
      }
      Backend b = backends.computeIfAbsent(e.id(), id -> new Backend(id, restMs));
      SocketAddress place = news.places().get(e.id());
      if (!place.equals(b.place) || b.startedMs != e.startedMs()) {
        b.place = place;
        b.startedMs = e.startedMs();
        cancelUnsent(e.id());
      }
    }
    if (news.full()) {
      List.copyOf(backends.keySet()).stream()
          .filter(id -> !named.contains(id))
          .forEach(this::remove);
    }
  }

  /**
   * Guards the rule on drains: an attempt that still waits for its connection is not written any
   * more.
   */
  private void remove(long id) {
    cancelUnsent(id);
    backends.remove(id);
  }

  /** Ends all that has not reached the backend yet; what is under way goes on. */
  @Override
  public void cancelUnsent(long id) {
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

  public boolean knowsAny() {
    return !backends.isEmpty();
  }

  /** Starts an attempt on an idle connection, or on a new one. */
  @Override
  public void start(long id, Attempt attempt) {
    Backend b = backends.get(id);
    if (b == null || banned.test(id) || tooLate(attempt)) {
      attempt.end(Status.UNREACHABLE, null, null);
      return;
    }
    BackendConnection c = idle(b);
    if (c != null) {
      c.carry(attempt);
    } else if (connections >= most && !dropIdle()) {
      tally.count(Tally.Event.BACKENDS_FULL);
      attempt.end(Status.UNREACHABLE, null, null);
    } else {
      connect(b, attempt);
    }
  }

  /** What is left of an attempt's time. */
  double leftMs(Attempt attempt) {
    return Math.max(0, attempt.deadlineMs() - clock.now());
  }

  /**
   * Whether it must not be written any more; one whose end has still to come from its client can be
   * late.
   */
  private boolean tooLate(Attempt attempt) {
    boolean bound = attempt.writeDeadlineMs() < Double.POSITIVE_INFINITY;
    return leftMs(attempt) == 0
        || clock.now() > attempt.writeDeadlineMs()
        || bound && !attempt.message().whole();
  }

  /**
   * Of those that have rested the one used last, unless the backend may be closing it after so
   * long.
   */
  private BackendConnection idle(Backend b) {
    double now = clock.now();
    for (Iterator<BackendConnection> all = b.idle.descendingIterator(); all.hasNext(); ) {
      BackendConnection c = all.next();
      if (now - c.idleSince >= b.restMs) {
        all.remove();
        if (now - c.idleSince <= idleLimitMs && c.usable() && c.silent()) {
          return c;
        }
        c.close();
      }
    }
    return null;
  }

  /** Something came on it that nobody asked for. */
  void unasked(BackendConnection c) {
    double late = clock.now() - c.idleSince;
    if (c.backend.idle.remove(c) && late <= LATE_MS) {
      c.backend.restMs = Math.max(c.backend.restMs, 2 * late);
    }
  }

  private void connect(Backend b, Attempt attempt) {
    b.connecting.add(attempt);
    BackendConnection c = new BackendConnection(this, b, b.generation, tally);
    double left = Math.min(leftMs(attempt), attempt.writeDeadlineMs() - clock.now());
    int limit = (int) Math.ceil(Math.min(connectLimitMs, Math.max(1, left)));
    double upBy = clock.now() + limit + CONNECT_SLACK_MS;
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
            .connect(b.place);
    attempt.connectingChannel(connected.channel());
    Transport.whenConnected(
        connected,
        f -> {
          b.connecting.remove(attempt);
          // Guards against writing what has timed out, was cancelled or must not reach a drained
          // backend, also
          // one of whose drain the loop has still to read behind a pause.
          if (attempt.ended() || banned.test(b.id) || tooLate(attempt) || clock.now() > upBy) {
            f.channel().close();
            attempt.end(Status.UNREACHABLE, null, null);
          } else if (f.isSuccess()) {
            c.carry(attempt);
          } else {
            attempt.end(Status.UNREACHABLE, null, null);
          }
        });
  }

  void release(BackendConnection c) {
    Backend b = c.backend;
    if (backends.get(b.id) == b && c.generation == b.generation && !banned.test(b.id)) {
      c.idleSince = clock.now();
      b.idle.addLast(c);
    } else {
      c.close();
    }
  }

  void closed(BackendConnection c) {
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

  private boolean dropIdle() {
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
