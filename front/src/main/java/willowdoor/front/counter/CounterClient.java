package willowdoor.front.counter;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LineBasedFrameDecoder;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import willowdoor.front.loop.Clock;
import willowdoor.front.loop.EventCounters;
import willowdoor.front.loop.Transport;
import willowdoor.front.requests.PolicyDriver;
import willowdoor.policy.GatewayApi.CounterResult;
import willowdoor.policy.GatewayApi.Status;

/**
 * Client of the shared counter. Calls are pipelined on a few persistent connections. A call goes to
 * the connection with the fewest outstanding responses, so that one slow part of the counter delays
 * only the calls already queued behind it. Calls for one name keep their order.
 */
public final class CounterClient implements PolicyDriver.Counter {

  private static final int CONNECTIONS = 12;

  /** Maximum outstanding responses of one connection. Further calls are rejected locally. */
  private static final int MAX_OUTSTANDING = 256;

  private static final int MAX_LINE_BYTES = 256;
  private static final long SWEEP_MS = 100;

  /**
   * A connection with outstanding responses that receives nothing for this many call timeouts is
   * considered dead.
   */
  private static final double SILENCE_TIMEOUTS = 12;

  /** An idle connection is pinged at this interval, which keeps it open and detects a dead one. */
  private static final double PING_MS = 3_000;

  /** A timer that fires this late indicates that this process was stalled. */
  private static final double LATE_TIMER_MS = 5;

  private static final double MIN_BACKOFF_MS = 50;
  private static final double MAX_BACKOFF_MS = 400;

  /**
   * One call, or a ping if the name is null. A call that timed out keeps its position in the queue
   * of outstanding responses.
   */
  private static final class Call {
    final String name;
    final double startedAt;
    Connection connection;
    boolean written;
    boolean done;

    Call(String name, double startedAt) {
      this.name = name;
      this.startedAt = startedAt;
    }
  }

  private final EventLoop loop;
  private SocketAddress counter;
  private final Clock clock;
  private final double timeoutMs;
  private final EventCounters counters;
  private final Consumer<CounterResult> listener;
  private final Bootstrap bootstrap;
  private Connection[] connections = {};

  /**
   * Connections to the previous address. They are closed once a connection to the new address is
   * open and they have no outstanding responses.
   */
  private Connection[] previousConnections = {};

  /** Calls in the order of their starts, and therefore of their timeouts. */
  private final ArrayDeque<Call> pending = new ArrayDeque<>();

  private final Map<String, Call> lastOfName = new HashMap<>();
  private boolean timerScheduled;

  public CounterClient(
      EventLoop loop,
      Transport transport,
      Clock clock,
      SocketAddress counter,
      double timeoutMs,
      EventCounters counters,
      Consumer<CounterResult> listener) {
    this.loop = loop;
    this.counter = counter;
    this.clock = clock;
    this.timeoutMs = timeoutMs;
    this.counters = counters;
    this.listener = listener;
    bootstrap = transport.client(loop).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 250);
  }

  public void start() {
    connections = open();
    loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
  }

  private Connection[] open() {
    Connection[] opened = new Connection[CONNECTIONS];
    for (int i = 0; i < CONNECTIONS; i++) {
      opened[i] = new Connection();
      opened[i].connect();
    }
    return opened;
  }

  /**
   * Switches to another address of the counter. Calls outstanding at the old address may still be
   * answered.
   */
  public void moveTo(SocketAddress counter) {
    if (counter.equals(this.counter)) {
      return;
    }
    this.counter = counter;
    for (Connection l : previousConnections) {
      l.close();
    }
    previousConnections = connections;
    for (Connection l : previousConnections) {
      l.retired = true;
    }
    connections = open();
  }

  @Override
  public void add(String name, double amount, double ttlMs) {
    Call call = new Call(name, clock.now());
    Call before = lastOfName.get(name);
    Connection link =
        before != null && before.connection.open() ? before.connection : leastLoaded(connections);
    link = link != null ? link : leastLoaded(previousConnections);
    if (link == null || link.outstanding.size() >= MAX_OUTSTANDING) {
      listener.accept(new CounterResult(name, Status.UNREACHABLE, 0, 0));
      return;
    }
    lastOfName.put(name, call);
    pending.add(call);
    link.send(
        call,
        "incr " + name + ' ' + formatAmount(amount) + ' ' + Math.max(1, (long) ttlMs) + "\r\n");
    scheduleTimeout();
  }

  /** Formats an amount as decimal digits without an exponent, which the counter does not parse. */
  static String formatAmount(double amount) {
    if (amount == Math.rint(amount) && Math.abs(amount) < 1e9) {
      return Long.toString((long) amount);
    }
    return BigDecimal.valueOf(amount).setScale(6, RoundingMode.HALF_UP).toPlainString();
  }

  private static Connection leastLoaded(Connection[] among) {
    Connection best = null;
    for (Connection l : among) {
      if (l.open() && (best == null || l.outstanding.size() < best.outstanding.size())) {
        best = l;
      }
    }
    return best;
  }

  private void finish(Call call, Status status, double total) {
    if (call.done) {
      return;
    }
    call.done = true;
    lastOfName.remove(call.name, call);
    if (call.name != null) {
      listener.accept(new CounterResult(call.name, status, total, clock.now() - call.startedAt));
    }
  }

  /** Schedules one timer for all calls: their timeouts expire in the order of their starts. */
  private void scheduleTimeout() {
    if (!timerScheduled && !pending.isEmpty()) {
      timerScheduled = true;
      double dueAt = pending.peekFirst().startedAt + timeoutMs;
      double left = Math.max(0, dueAt - clock.now());
      loop.schedule(() -> onTimeout(dueAt), (long) Math.ceil(left * 1000), TimeUnit.MICROSECONDS);
    }
  }

  /**
   * Handles an expired timeout. After a stall of this process, the responses received meanwhile are
   * read first: a timeout that expired during the stall does not show a slow counter.
   */
  private void onTimeout(double dueAt) {
    if (clock.now() - dueAt > LATE_TIMER_MS) {
      loop.schedule(this::timeOutOverdue, 1, TimeUnit.MILLISECONDS);
    } else {
      timeOutOverdue();
    }
  }

  private void timeOutOverdue() {
    timerScheduled = false;
    double now = clock.now();
    for (Call c = pending.peekFirst();
        c != null && (c.done || c.startedAt + timeoutMs <= now);
        c = pending.peekFirst()) {
      finish(pending.pollFirst(), Status.TIMED_OUT, 0);
    }
    scheduleTimeout();
  }

  private void sweep() {
    double now = clock.now();
    for (Connection l : connections) {
      l.check(now);
    }
    boolean moved = leastLoaded(connections) != null;
    for (Connection l : previousConnections) {
      if (moved && l.outstanding.isEmpty()) {
        l.close();
      } else {
        l.check(now);
      }
    }
  }

  /** One persistent connection and its outstanding calls, in order. */
  private final class Connection extends ChannelInitializer<Channel> {
    private final ArrayDeque<Call> outstanding = new ArrayDeque<>();
    private Channel channel;
    private double lastReceivedAt;

    /**
     * A malformed or unexpected line arrived: further lines read with it are not responses to
     * outstanding calls.
     */
    private boolean outOfSync;

    private double backoffMs = MIN_BACKOFF_MS;

    /** The counter has moved to another address: this connection is not reopened. */
    private boolean retired;

    boolean open() {
      return channel != null && channel.isActive();
    }

    void close() {
      if (channel != null) {
        channel.close();
      }
    }

    void connect() {
      if (retired) {
        return;
      }
      Transport.whenConnected(
          bootstrap.clone().handler(this).connect(counter),
          f -> {
            if (f.isSuccess() && retired) {
              f.channel().close();
            } else if (f.isSuccess()) {
              channel = f.channel();
              lastReceivedAt = clock.now();
            } else {
              scheduleReconnect();
            }
          });
    }

    private void scheduleReconnect() {
      double wait = backoffMs * (0.5 + ThreadLocalRandom.current().nextDouble());
      backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
      loop.schedule(this::connect, (long) wait, TimeUnit.MILLISECONDS);
    }

    void send(Call call, String line) {
      call.connection = this;
      outstanding.add(call);
      ByteBuf bytes = channel.alloc().buffer(line.length());
      bytes.writeCharSequence(line, StandardCharsets.US_ASCII);
      channel.writeAndFlush(bytes).addListener(f -> call.written = f.isSuccess());
    }

    /**
     * Closes a connection that receives nothing for too long, so that it is replaced: a machine
     * that vanishes sends no reset.
     */
    void check(double now) {
      if (!open()) {
        return;
      }
      if (outstanding.isEmpty()) {
        if (now - lastReceivedAt > PING_MS) {
          send(new Call(null, now), "ping\r\n");
        }
      } else if (now - Math.max(lastReceivedAt, outstanding.peekFirst().startedAt)
          > SILENCE_TIMEOUTS * timeoutMs) {
        channel.close();
      }
    }

    @Override
    protected void initChannel(Channel ch) {
      ch.pipeline()
          .addLast(
              new LineBasedFrameDecoder(MAX_LINE_BYTES),
              new SimpleChannelInboundHandler<ByteBuf>() {
                @Override
                protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
                  onLine(line.toString(StandardCharsets.US_ASCII));
                }

                @Override
                public void channelInactive(ChannelHandlerContext ctx) {
                  onConnectionLost();
                }

                @Override
                public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                  ctx.close();
                }
              });
    }

    private void onLine(String line) {
      if (outOfSync) {
        return;
      }
      lastReceivedAt = clock.now();
      Call call = outstanding.poll();
      if (call != null && line.startsWith("ok ") && call.name != null) {
        double total;
        try {
          total = Double.parseDouble(line.substring(3));
        } catch (NumberFormatException e) {
          total = Double.NaN;
        }
        if (Double.isFinite(total)) {
          backoffMs = MIN_BACKOFF_MS;
          finish(call, Status.OK, total);
          return;
        }
      } else if (call != null && (line.equals("busy") || line.equals("error"))) {
        finish(call, Status.REJECTED, 0);
        return;
      } else if (call != null && line.equals("pong") && call.name == null) {
        backoffMs = MIN_BACKOFF_MS;
        return;
      }
      // Unexpected line: responses and calls are out of sync, and no following line can be matched
      // to a call.
      outOfSync = true;
      counters.count(EventCounters.Event.COUNTER_UNREADABLE);
      if (call != null) {
        outstanding.addFirst(call);
      }
      channel.close();
    }

    /**
     * Fails the outstanding calls. A call that was not written completely has added nothing; any
     * other call may have been added.
     */
    private void onConnectionLost() {
      channel = null;
      outOfSync = false;
      while (!outstanding.isEmpty()) {
        Call call = outstanding.poll();
        finish(call, call.written ? Status.RESET : Status.UNREACHABLE, 0);
      }
      scheduleReconnect();
    }
  }
}
