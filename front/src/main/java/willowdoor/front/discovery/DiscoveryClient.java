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
 * Performs the network I/O of the watch on the backend list, as decided by {@link
 * WatchStateMachine}. While no watch is open, the last list stays in use. All methods run on the
 * event loop's thread.
 */
public final class DiscoveryClient {

  private static final Logger LOG = Logger.getLogger(DiscoveryClient.class.getName());
  private static final long CHECK_INTERVAL_MS = 25;

  private final EventLoop loop;
  private final Clock clock;
  private final EventCounters counters;
  private final Consumer<BackendListUpdate> listener;
  private final Bootstrap bootstrap;
  private final WatchStateMachine watch;
  private final Promise<Void> caughtUp;
  private InetSocketAddress agent;

  /** The channel of the current attempt; null between attempts. */
  private Channel channel;

  public DiscoveryClient(
      EventLoop loop,
      Transport transport,
      Clock clock,
      InetSocketAddress agent,
      long version,
      EventCounters counters,
      Consumer<BackendListUpdate> listener) {
    this.loop = loop;
    this.clock = clock;
    this.agent = agent;
    this.counters = counters;
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

  /** Completes once the list is as recent as can be obtained. */
  public Future<Void> caughtUp() {
    return caughtUp;
  }

  /** Switches the watch to another address of the discovery agent. */
  public void moveTo(InetSocketAddress next) {
    agent = next;
    apply(() -> watch.onAddressChanged(clock.now()));
  }

  /**
   * Executes the effects that the state machine returns. An exception ends the current attempt but
   * never the periodic checks.
   */
  private void apply(Supplier<List<WatchStateMachine.Effect>> decision) {
    try {
      decision.get().forEach(this::execute);
      if (watch.caughtUpReason() != null && caughtUp.trySuccess(null)) {
        LOG.info(watch.caughtUpReason());
      }
    } catch (RuntimeException e) {
      LOG.log(
          Level.SEVERE,
          "discovery watch failed with an exception; the current attempt is closed",
          e);
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
        counters.count(EventCounters.Event.DISCOVERY_UNREADABLE);
      }
      Channel ending = channel;
      channel = null;
      // If no file descriptor was available there is no real channel, and Netty's placeholder
      // cannot be closed.
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

  /** Reports the end of the current attempt. The end of an abandoned attempt has no effect. */
  private void ended(Channel ending) {
    if (ending == channel) {
      apply(() -> watch.onClosed(clock.now()));
    }
  }

  /**
   * Forwards the bytes of the response body. Lines, objects and chunks may end at arbitrary
   * positions.
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
      LOG.log(Level.FINE, "discovery watch connection failed", cause);
      ctx.close();
    }
  }
}
