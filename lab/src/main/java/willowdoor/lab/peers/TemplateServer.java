package willowdoor.lab.peers;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.EventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import willowdoor.lab.net.OwnLoop;
import willowdoor.lab.record.Entry;
import willowdoor.lab.record.LabClock;
import willowdoor.lab.record.Recorder;

/** One emulated template server. All on the loop of its group, but for start and stop. */
final class TemplateServer {

  private static final int MOST_BODY = 1 << 20;

  private final String id;
  private final InetSocketAddress address;
  private final ServerSpec spec;
  private final Recorder records;
  private final RandomGenerator random;
  private final OwnLoop own;
  private final EventExecutor loop;
  private final ChannelGroup connections;
  private final ArrayDeque<Job> waiting = new ArrayDeque<>();
  private Channel listening;
  private Mode mode = Mode.WELL;
  private long startedUs;
  private boolean cold;
  private int running;
  private long answers;

  /** A request from its last byte to its answer. */
  private final class Job {
    final Connection connection;
    final String request;
    final boolean keepAlive;
    final long arrived = records.clock().nowUs();
    final long overUs;
    long began;

    Job(Connection connection, FullHttpRequest message) {
      this.connection = connection;
      request = message.headers().get("Request-Id");
      keepAlive = HttpUtil.isKeepAlive(message);
      long timeoutMs = message.headers().getInt("Request-Timeout-Ms", Integer.MAX_VALUE);
      overUs = arrived + LabClock.us((double) timeoutMs);
    }

    void record(String how, String body) {
      records.write(
          new Entry.Attempt(arrived, records.clock().nowUs(), request, id, began, how, body));
    }
  }

  TemplateServer(
      String id,
      InetSocketAddress address,
      ServerSpec spec,
      Recorder records,
      RandomGenerator random,
      OwnLoop own) {
    this.id = id;
    this.address = address;
    this.spec = spec;
    this.records = records;
    this.random = random;
    this.own = own;
    loop = own.loop();
    connections = new DefaultChannelGroup(loop);
  }

  InetSocketAddress address() {
    return address;
  }

  /** Listens; one that is cold has yet to reach its speed. */
  void start(boolean cold) throws IOException {
    this.cold = cold;
    startedUs = records.clock().nowUs();
    listening =
        Sockets.listen(
            own,
            address,
            () ->
                new ChannelHandler[] {
                  new HttpServerCodec(), new HttpObjectAggregator(MOST_BODY),
                  new IdleStateHandler(0, 0, spec.idleMs(), TimeUnit.MILLISECONDS), new Connection()
                });
  }

  /** Dies: what it worked on is over, and its connections are reset. */
  void stop() {
    if (listening == null) {
      return;
    }
    listening.close().awaitUninterruptibly();
    listening = null;
    loop.submit(
            () -> {
              waiting.clear();
              connections.forEach(Sockets::reset);
            })
        .awaitUninterruptibly();
  }

  void mode(Mode mode) {
    loop.execute(() -> this.mode = mode);
  }

  private double speed() {
    double age =
        spec.coldMs() <= 0 || !cold
            ? 1
            : Math.min(1, (records.clock().nowUs() - startedUs) / (1_000 * spec.coldMs()));
    return (spec.coldFrom() + (1 - spec.coldFrom()) * age) / mode.slow();
  }

  private void take(Job job) {
    if (mode.refusing()
        || connections.size() > spec.connections()
        || running >= spec.width() && waiting.size() >= spec.queue()) {
      turnAway(job, HttpResponseStatus.SERVICE_UNAVAILABLE);
    } else if (running < spec.width()) {
      begin(job);
    } else {
      waiting.add(job);
    }
  }

  private void turnAway(Job job, HttpResponseStatus status) {
    job.record("not_started", null);
    FullHttpResponse answer = Sockets.answer(status, "");
    answer.headers().set("Not-Started", "1");
    job.connection.answer(job, answer);
  }

  private void begin(Job job) {
    running++;
    job.began = records.clock().nowUs();
    double workMs = -Math.log(1 - random.nextDouble()) * spec.meanMs() / speed();
    loop.schedule(() -> finish(job), LabClock.us(workMs), TimeUnit.MICROSECONDS);
  }

  private void finish(Job job) {
    running--;
    beginNext();
    if (!job.connection.ctx.channel().isActive()) {
      job.record("gone", null);
    } else if (random.nextDouble() < mode.hanging()) {
      job.connection.ctx.channel().closeFuture().addListener(closed -> job.record("hung", null));
    } else if (random.nextDouble() < mode.failing()) {
      job.record("error", null);
      job.connection.answer(
          job, Sockets.answer(HttpResponseStatus.INTERNAL_SERVER_ERROR, "failed"));
    } else if (random.nextDouble() < mode.cutting()) {
      job.record("cut", null);
      FullHttpResponse answer = Sockets.answer(HttpResponseStatus.OK, "cut");
      answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, spec.bodyBytes() + 100);
      job.connection
          .ctx
          .writeAndFlush(answer)
          .addListener(f -> Sockets.reset(job.connection.ctx.channel()));
    } else {
      String body = job.request + ' ' + id + ' ' + answers++;
      FullHttpResponse answer =
          Sockets.answer(
              HttpResponseStatus.OK,
              body + " ".repeat(Math.max(0, spec.bodyBytes() - body.length())));
      if (!spec.loadReport().isEmpty()) {
        answer.headers().set("Server-Load", spec.loadReport() + '=' + waiting.size());
      }
      job.record("served", body);
      job.connection.answer(job, answer);
    }
  }

  private void beginNext() {
    while (running < spec.width() && !waiting.isEmpty()) {
      Job next = waiting.poll();
      if (!next.connection.ctx.channel().isActive()) {
        next.record("gone", null);
      } else if (records.clock().nowUs() > next.overUs) {
        turnAway(next, HttpResponseStatus.GATEWAY_TIMEOUT);
      } else {
        begin(next);
      }
    }
  }

  /** One connection, with one request at a time. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private ChannelHandlerContext ctx;
    private Job job;

    @Override
    public void channelActive(ChannelHandlerContext context) {
      ctx = context;
      connections.add(ctx.channel());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
      if (message.decoderResult().isFailure() || !message.headers().contains("Request-Id")) {
        ctx.writeAndFlush(Sockets.answer(HttpResponseStatus.NOT_FOUND, "no request"));
      } else {
        job = new Job(this, message);
        take(job);
      }
    }

    void answer(Job answered, FullHttpResponse answer) {
      job = null;
      if (!answered.keepAlive) {
        answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      }
      ctx.writeAndFlush(answer)
          .addListener(
              written -> {
                if (!answered.keepAlive) {
                  ctx.close();
                }
              });
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (event instanceof IdleStateEvent && job == null) {
        ctx.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      ctx.close();
    }
  }
}
