package willowdoor.front.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import willowdoor.front.loop.Clock;
import willowdoor.front.loop.EventCounters;
import willowdoor.front.loop.Transport;

/**
 * The sockets of the watch of the list, which {@link WatchStateMachine} decides on; while there is
 * none the last list stays in use. All on the event loop's thread.
 */
public final class DiscoveryClient {

  private static final Logger LOG = Logger.getLogger(DiscoveryClient.class.getName());
  private static final long CHECK_INTERVAL_MS = 25;

  private final EventLoop loop;
  private final Clock clock;
  private final EventCounters tally;
  private final Consumer<BackendListUpdate> listener;
  private final Bootstrap bootstrap;
  private final WatchStateMachine watch;
  private final Promise<Void> caughtUp;
  private InetSocketAddress agent;

  /** The present try's; null between tries. */
  private Channel channel;

  public DiscoveryClient(
      EventLoop loop,
      Transport transport,
      Clock clock,
      InetSocketAddress agent,
      long version,
      EventCounters tally,
      Consumer<BackendListUpdate> listener) {
    this.loop = loop;
    this.clock = clock;
    this.agent = agent;
    this.tally = tally;
    this.listener = listener;
    caughtUp = loop.newPromise();
    watch = new WatchStateMachine(version, () -> ThreadLocalRandom.current().nextDouble());
    bootstrap =
        transport
            .client(loop)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel opened) {
                    opened.pipeline().addLast(new HttpClientCodec(), new ResponseHandler());
                  }
                });
  }

  public void start() {
    apply(() -> watch.start(clock.now()));
    loop.scheduleWithFixedDelay(
        () -> apply(() -> watch.check(clock.now())),
        CHECK_INTERVAL_MS,
        CHECK_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  /** Comes to pass once the list is as new as can be had. */
  public Future<Void> caughtUp() {
    return caughtUp;
  }

  /** From now on the list comes from another address. */
  public void moveTo(InetSocketAddress next) {
    agent = next;
    apply(() -> watch.onAddressChanged(clock.now()));
  }

  /**
   * Carries out what the watch decides on; a fault in that costs the present try, and never the
   * looks.
   */
  private void apply(Supplier<List<WatchStateMachine.Effect>> decision) {
    try {
      decision.get().forEach(this::execute);
      if (watch.caughtUpReason() != null && caughtUp.trySuccess(null)) {
        LOG.info(watch.caughtUpReason());
      }
    } catch (RuntimeException e) {
      LOG.log(Level.SEVERE, "the watch failed", e);
      watch.onClosed(clock.now()).forEach(this::execute);
    }
  }

  private void execute(WatchStateMachine.Effect effect) {
    if (effect instanceof WatchStateMachine.Effect.Open open) {
      connect(open.version());
    } else if (effect instanceof WatchStateMachine.Effect.Deliver deliver) {
      listener.accept(deliver.update());
    } else if (effect instanceof WatchStateMachine.Effect.Close close) {
      if (close.unreadable()) {
        tally.count(EventCounters.Event.DISCOVERY_UNREADABLE);
      }
      Channel ending = channel;
      channel = null;
      // Without a descriptor left there was none, and its stand-in cannot be closed.
      if (ending != null && ending.isOpen()) {
        ending.close();
      }
    }
  }

  private void connect(long version) {
    ChannelFuture connect = bootstrap.connect(agent);
    Channel opened = connect.channel();
    channel = opened;
    Transport.whenConnected(
        connect,
        f -> {
          if (opened != channel) {
            opened.close();
          } else if (!f.isSuccess()) {
            apply(() -> watch.onClosed(clock.now()));
          } else {
            opened.closeFuture().addListener(closed -> ended(opened));
            DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.GET,
                    "/discovery/hosts?stream=1&index=" + version);
            request
                .headers()
                .set(
                    HttpHeaderNames.HOST,
                    agent.getAddress().getHostAddress() + ":" + agent.getPort());
            watch.onConnected(clock.now());
            opened.writeAndFlush(request);
          }
        });
  }

  /** A try that was given up ends without consequence. */
  private void ended(Channel ending) {
    if (ending == channel) {
      apply(() -> watch.onClosed(clock.now()));
    }
  }

  /**
   * Passes on the bytes of the answer's body, in which lines, objects and chunks end where they
   * like.
   */
  private final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
      if (ctx.channel() != channel) {
        return;
      }
      if (part.decoderResult().isFailure()
          || part instanceof HttpResponse r && !r.status().equals(HttpResponseStatus.OK)) {
        ended(ctx.channel());
        return;
      }
      if (part instanceof HttpResponse) {
        watch.onResponseHead(clock.now());
      }
      if (part instanceof HttpContent content && content.content().isReadable()) {
        byte[] bytes = ByteBufUtil.getBytes(content.content());
        apply(() -> watch.onBody(clock.now(), bytes));
      }
      if (part instanceof LastHttpContent) {
        ended(ctx.channel());
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      LOG.log(Level.FINE, "watch ended", cause);
      ctx.close();
    }
  }
}
