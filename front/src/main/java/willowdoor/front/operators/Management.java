package willowdoor.front.operators;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadFeature;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import willowdoor.front.loop.Descriptors;
import willowdoor.front.loop.Transport;
import willowdoor.wire.JsonFields;

/**
 * The management address for operators, with one call per connection. It has an event loop of its
 * own, so that calls are answered in time regardless of the load of client requests. All code runs
 * on that loop's thread.
 */
public final class Management {

  /**
   * Maximum concurrent callers. The remaining descriptors of the management address are for a
   * connection about to be rejected, and for its own listener and event loop.
   */
  private static final int MAX_CONNECTIONS = Descriptors.OPERATORS - 6;

  /**
   * A connection without a complete call is closed after this time, or sooner when its capacity is
   * needed.
   */
  private static final long REQUEST_TIMEOUT_MS = 4_500;

  /** Callers expect a response within 1 s. */
  private static final long CHANGE_TIMEOUT_MS = 850;

  private static final int MAX_LINE_BYTES = 1_024;
  private static final int MAX_HEADER_BYTES = 4_096;
  private static final int MAX_BODY_BYTES = 4_096;

  private static final JsonFactory JSON =
      JsonFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();
  private static final Logger LOG = Logger.getLogger(Management.class.getName());

  /**
   * The operations that operators can call. The future of a change completes once the change is in
   * force.
   */
  public interface Operator {
    /** Whether this process is ready to serve. */
    boolean ready();

    Future<Boolean> drain(boolean on);

    /**
     * Excludes a template server or includes it again. The result is false if the server is
     * unknown.
     */
    Future<Boolean> setExcluded(String host, boolean out);
  }

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, Transport.BEST.ioHandler());
  private final EventLoop loop = group.next();
  private final Operator operator;

  /** Connections without a complete call, oldest first, and the number of all connections. */
  private final LinkedHashSet<Caller> incomplete = new LinkedHashSet<>();

  private int callers;
  private Channel listening;

  private Management(Operator operator) {
    this.operator = operator;
  }

  public static Management listen(InetSocketAddress address, Operator operator) throws IOException {
    Management management = new Management(operator);
    try {
      management.listening =
          new ServerBootstrap()
              .group(management.loop)
              .channel(Transport.BEST.serverSocket())
              .option(ChannelOption.SO_BACKLOG, 128)
              .option(ChannelOption.SO_REUSEADDR, true)
              .childHandler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                      channel
                          .pipeline()
                          .addLast(
                              new HttpServerCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_BODY_BYTES),
                              new HttpObjectAggregator(MAX_BODY_BYTES),
                              management.new Caller());
                    }
                  })
              .bind(address)
              .awaitUninterruptibly()
              .channel();
      if (!management.listening.isActive()) {
        throw new IOException("cannot listen for operators on " + address);
      }
      return management;
    } catch (IOException | RuntimeException e) {
      management.stop();
      throw e;
    }
  }

  public SocketAddress address() {
    return listening.localAddress();
  }

  public void stop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  /** One connection and its single call. */
  private final class Caller extends SimpleChannelInboundHandler<FullHttpRequest> {

    private Channel channel;
    private boolean answered;

    /** Closes the oldest connection without a complete call when there are too many connections. */
    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      channel = ctx.channel();
      callers++;
      if (callers > MAX_CONNECTIONS) {
        Caller oldest = incomplete.isEmpty() ? this : incomplete.iterator().next();
        oldest.channel.close();
      }
      if (channel.isOpen()) {
        incomplete.add(this);
        Future<?> limit =
            loop.schedule(
                () -> onIncomplete(HttpResponseStatus.REQUEST_TIMEOUT),
                REQUEST_TIMEOUT_MS,
                TimeUnit.MILLISECONDS);
        channel.closeFuture().addListener(f -> limit.cancel(false));
      }
      ctx.fireChannelActive();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      callers--;
      incomplete.remove(this);
      ctx.fireChannelInactive();
    }

    private void onIncomplete(HttpResponseStatus status) {
      if (incomplete.contains(this)) {
        answer(status, status.reasonPhrase());
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest call) {
      if (!incomplete.remove(this)) {
        return;
      }
      if (call.decoderResult().isFailure()) {
        answer(HttpResponseStatus.BAD_REQUEST, "malformed request");
        return;
      }
      switch (call.uri()) {
        case "/api/ready" -> {
          if (checkMethod(HttpMethod.GET, call)) {
            boolean ready = operator.ready();
            answer(
                ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                ready ? "ready" : "not ready");
          }
        }
        case "/api/evacuate", "/api/rejoin" -> {
          if (checkMethod(HttpMethod.PUT, call)) {
            answerChange(call.uri(), operator.drain(call.uri().equals("/api/evacuate")));
          }
        }
        case "/api/exclude", "/api/include" -> {
          String host = checkMethod(HttpMethod.PUT, call) ? host(call) : null;
          if (host != null) {
            answerChange(
                call.uri() + ' ' + host,
                operator.setExcluded(host, call.uri().equals("/api/exclude")));
          }
        }
        default -> answer(HttpResponseStatus.NOT_FOUND, "no such call");
      }
    }

    private boolean checkMethod(HttpMethod method, FullHttpRequest call) {
      boolean uses = call.method().equals(method);
      if (!uses) {
        answer(HttpResponseStatus.METHOD_NOT_ALLOWED, "use " + method);
      }
      return uses;
    }

    /**
     * Returns the template server that the call names. A body other than {@code {"host":"ID"}} is
     * answered with an error here, and null is returned.
     */
    private String host(FullHttpRequest call) {
      try (JsonParser in =
          JSON.createParser((InputStream) new ByteBufInputStream(call.content()))) {
        in.nextToken();
        Map<String, Object> fields = JsonFields.object(in);
        if (fields.keySet().equals(Set.of("host"))
            && fields.get("host") instanceof String host
            && !host.isEmpty()
            && in.nextToken() == null) {
          return host;
        }
      } catch (IOException e) {
        // Falls through to the common error response for an invalid body.
      }
      answer(HttpResponseStatus.BAD_REQUEST, "expected {\"host\":\"ID\"}");
      return null;
    }

    /** Responds once a change is in force, or reports in time that it is not in force yet. */
    private void answerChange(String name, Future<Boolean> change) {
      loop.schedule(
          () -> answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "not in force yet: call again"),
          CHANGE_TIMEOUT_MS,
          TimeUnit.MILLISECONDS);
      change.addListener(
          f ->
              loop.execute(
                  () -> {
                    if (f.isSuccess() && !change.getNow()) {
                      answer(HttpResponseStatus.NOT_FOUND, "no such template server");
                    } else if (f.isSuccess()) {
                      answer(HttpResponseStatus.OK, "done");
                    } else {
                      LOG.log(Level.SEVERE, "management call failed: " + name, f.cause());
                      answer(HttpResponseStatus.INTERNAL_SERVER_ERROR, "failed: see the log");
                    }
                  }));
    }

    private void answer(HttpResponseStatus status, String text) {
      incomplete.remove(this);
      if (answered) {
        return;
      }
      answered = true;
      FullHttpResponse answer =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              status,
              Unpooled.copiedBuffer(text + "\n", StandardCharsets.US_ASCII));
      answer
          .headers()
          .set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes())
          .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      channel.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
