package willowdoor.lab.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import willowdoor.lab.net.OwnLoop;
import willowdoor.lab.record.LabClock;

/**
 * Clients' connections to one front door: kept, one request at a time on each, more where all are
 * busy.
 */
final class Connections {

  private static final int MOST_ANSWER = 1 << 20;
  private static final int CONNECT_MS = 2_000;

  /** A client stays so much longer than it said, to see answers that come late. */
  private static final long PATIENCE_MS = 1_500;

  /** A close that crosses a request is seen this soon. */
  private static final long CROSSING_US = 100_000;

  /** Is told how each request ended. */
  interface Ended {
    void ended(Ask ask, int status, String how, String body);
  }

  private final OwnLoop own;
  private final EventLoop loop;
  private final InetSocketAddress door;
  private final int most;
  private final LabClock clock;
  private final Predicate<SocketAddress> unreached;
  private final Ended ended;
  private final ArrayDeque<Kept> idle = new ArrayDeque<>();
  private final Set<Kept> open = new HashSet<>();

  Connections(
      OwnLoop own,
      InetSocketAddress door,
      int most,
      LabClock clock,
      Predicate<SocketAddress> unreached,
      Ended ended) {
    this.own = own;
    loop = own.loop();
    this.door = door;
    this.most = most;
    this.clock = clock;
    this.unreached = unreached;
    this.ended = ended;
  }

  void send(Ask ask) {
    Kept kept = idle.pollLast();
    if (kept != null) {
      kept.write(ask);
    } else if (open.size() >= most) {
      ended.ended(ask, 0, "no connection", "");
    } else {
      connect(ask);
    }
  }

  private void connect(Ask ask) {
    Kept kept = new Kept();
    ChannelFuture connect =
        new Bootstrap()
            .group(loop)
            .channel(EpollSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel
                        .pipeline()
                        .addLast(
                            new ChannelInboundHandlerAdapter() {
                              @Override
                              public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                                kept.heard = true;
                                ctx.fireChannelRead(bytes);
                              }
                            },
                            new HttpResponseDecoder(),
                            new HttpObjectAggregator(MOST_ANSWER),
                            kept);
                  }
                })
            .connect(door);
    kept.channel = own.keep(connect.channel());
    open.add(kept);
    kept.channel.closeFuture().addListener(closed -> open.remove(kept));
    connect.addListener(
        done -> {
          if (done.isSuccess()) {
            kept.local = kept.channel.localAddress();
            kept.write(ask);
          } else {
            ended.ended(ask, 0, ask.taken ? "broken" : "unreachable", "");
          }
        });
  }

  private final class Kept extends SimpleChannelInboundHandler<FullHttpResponse> {
    private Channel channel;
    private Ask asked;
    private SocketAddress local;
    private Future<?> limit;
    private boolean heard;
    private int answered;

    void write(Ask ask) {
      asked = ask;
      heard = false;
      limit =
          loop.schedule(
              () -> {
                finish(0, "silent", "");
                channel.close();
              },
              ask.timeoutMs + PATIENCE_MS,
              TimeUnit.MILLISECONDS);
      if (ask.begin == 0) {
        ask.begin = clock.nowUs();
      }
      channel
          .writeAndFlush(Unpooled.wrappedBuffer(ask.message()))
          .addListener(
              written -> {
                ask.taken |= written.isSuccess();
                if (!written.isSuccess()) {
                  broken();
                }
              });
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
      boolean good = answer.decoderResult().isSuccess();
      String body = answer.content().toString(StandardCharsets.ISO_8859_1).stripTrailing();
      answered++;
      boolean keep = good && HttpUtil.isKeepAlive(answer) && asked != null;
      finish(
          good ? answer.status().code() : 0,
          good ? "answered" : "broken",
          body.substring(0, Math.min(128, body.length())));
      if (keep) {
        idle.add(this);
      } else {
        channel.close();
      }
    }

    /** A close may have crossed the request: then it goes out once more, on a new connection. */
    private void broken() {
      Ask ask = asked;
      boolean lost = unreached.test(local) && ask != null;
      if (lost) {
        ask.taken = false;
      }
      boolean crossed =
          ask != null
              && answered > 0
              && !heard
              && ask.resent == 0
              && (lost || clock.nowUs() - ask.begin < CROSSING_US);
      if (crossed) {
        asked = null;
        limit.cancel(false);
        ask.resent = clock.nowUs();
        connect(ask);
      } else {
        finish(0, ask != null && ask.taken ? "broken" : "unreachable", "");
      }
    }

    private void finish(int status, String how, String body) {
      Ask ask = asked;
      asked = null;
      if (ask != null) {
        limit.cancel(false);
        ended.ended(ask, status, how, body);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      idle.remove(this);
      broken();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
