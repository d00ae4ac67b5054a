package elmsail.gateway;

import elmsail.batch.BatchService;
import elmsail.batch.TenantName;
import elmsail.config.ClusterState;
import elmsail.config.Route;
import elmsail.config.RoutingConfig;
import elmsail.config.ServerEntry;
import elmsail.config.Service;
import elmsail.config.Tenant;
import elmsail.rpc.messages.ClusterView;
import elmsail.runtime.Addresses;
import elmsail.runtime.NettyEventLoop;
import elmsail.runtime.ProcessMetrics;
import elmsail.runtime.Settings;
import elmsail.runtime.http.HttpServer;
import elmsail.runtime.http.SimpleHttpResponse;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Serves one synthetic stream from a fake server over loopback, so that a build can archive the
 * classes that the first request loads. Must not run in a process that serves clients.
 */
public final class GatewayWarmUp {
  private static final String LOOPBACK = "127.0.0.1:0";
  private static final String HOST = "drill.example";
  private static final String KEY = "drill";
  private static final byte[] RESPONSE_EVENTS =
      "id: 0\ndata: a\n\nid: 1\ndata: b\n\n".getBytes(StandardCharsets.US_ASCII);

  private GatewayWarmUp() {}

  /**
   * Serves the stream. Must be called on the loop.
   *
   * @return completes on the loop, when the client's connection closes, with the bytes that the
   *     client received
   */
  public static CompletableFuture<String> run(NettyEventLoop loop) {
    CompletableFuture<String> received = new CompletableFuture<>();
    HttpServer.listen(
            loop,
            LOOPBACK,
            call ->
                CompletableFuture.completedFuture(
                    new SimpleHttpResponse(
                        200,
                        Map.of(
                            "Elmsail-Request-Id",
                            String.valueOf(call.headers().get("elmsail-request-id")),
                            "Elmsail-Postmark",
                            "drill",
                            "Content-Type",
                            "text/event-stream",
                            "Elmsail-Server-Load",
                            "1,0,24"),
                        RESPONSE_EVENTS)),
            1 << 16)
        .thenCompose(
            server ->
                Gateway.start(
                    settings(),
                    loop,
                    new SingleServerState(server.address()),
                    new NoBatchJobs(),
                    ProcessMetrics.unlogged()))
        .whenComplete(
            (gateway, failure) -> {
              if (failure == null) {
                sendRequest(loop, gateway, received);
              } else {
                received.completeExceptionally(failure);
              }
            });
    return received;
  }

  private static void sendRequest(
      NettyEventLoop loop, Gateway gateway, CompletableFuture<String> received) {
    StringBuilder text = new StringBuilder();
    new Bootstrap()
        .group(loop.eventLoop())
        .channel(NioSocketChannel.class)
        .handler(
            new SimpleChannelInboundHandler<ByteBuf>() {
              @Override
              public void channelActive(ChannelHandlerContext ctx) {
                ctx.writeAndFlush(
                    Unpooled.copiedBuffer(
                        "POST /drill/1 HTTP/1.1\r\nHost: "
                            + HOST
                            + "\r\nElmsail-Request-Id: d1\r\nElmsail-Deadline-Ms: 2000\r\n"
                            + "Elmsail-Tokens: 30,4\r\nAuthorization: Bearer "
                            + KEY
                            + "\r\n"
                            + "Elmsail-Prompt-Prefix: a1:10,b2:10,c3:10\r\nConnection: close\r\n"
                            + "Content-Length: 4\r\n\r\nbody",
                        StandardCharsets.US_ASCII));
              }

              @Override
              protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
                text.append(bytes.toString(StandardCharsets.US_ASCII));
              }

              @Override
              public void channelInactive(ChannelHandlerContext ctx) {
                received.complete(text.toString());
              }
            })
        .connect(Addresses.parse(gateway.clientAddress()))
        .addListener(
            f -> {
              if (!f.isSuccess()) {
                received.completeExceptionally(f.cause());
              }
            });
  }

  private static Settings settings() {
    return new Settings(
        "drill",
        "gateway",
        "counter",
        Set.of("counter"),
        "127.0.0.1",
        "z",
        "r",
        Map.of(),
        Map.of("front", LOOPBACK, "ready", LOOPBACK),
        0,
        0,
        List.of(),
        true,
        true,
        new Settings.Limits(1, 256, 1_024, 1, 0),
        null,
        Set.of(),
        0,
        new Settings.Bounds(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0),
        null);
  }

  /** A cluster state with one route and one server. */
  private static final class SingleServerState implements ClusterState, RoutingConfig {
    private final List<ServerEntry> servers;
    private final Route route =
        new Route(
            "drill",
            HOST,
            "/drill/",
            Route.Kind.STREAM,
            2_000,
            250,
            0,
            List.of(new Route.WeightedService("drill", 1)),
            2,
            true,
            150,
            0,
            0,
            0);

    SingleServerState(String address) {
      servers = List.of(new ServerEntry("i-drill", "drill", address, "z", 24, false, 0));
    }

    @Override
    public RoutingConfig config() {
      return this;
    }

    @Override
    public List<ServerEntry> servers() {
      return servers;
    }

    @Override
    public long configConfirmedAgeMs() {
      return 0;
    }

    @Override
    public long serverListAgeMs() {
      return 0;
    }

    @Override
    public ClusterView view() {
      return new ClusterView();
    }

    @Override
    public void addListener(Runnable listener) {}

    @Override
    public long version() {
      return 1;
    }

    @Override
    public Optional<Route> match(String host, String path) {
      return Optional.of(route);
    }

    @Override
    public Route routeByName(String name) {
      return route;
    }

    @Override
    public boolean requiresKeys() {
      return true;
    }

    @Override
    public Optional<Tenant> tenantByKey(String key) {
      return key.equals(KEY) ? Optional.of(new Tenant("drill", 0)) : Optional.empty();
    }

    @Override
    public Map<String, Service> services() {
      return Map.of();
    }

    @Override
    public ClientLimits limits() {
      return new ClientLimits(16_384, 1 << 20, 3_000, 15_000);
    }
  }

  /** A batch service that responds to each call with status 503. */
  private static final class NoBatchJobs implements BatchService {
    private static CompletableFuture<Reply> unavailable() {
      return CompletableFuture.completedFuture(new Reply(503, new byte[0], 1));
    }

    @Override
    public CompletableFuture<Reply> submit(
        TenantName tenant, Route route, String jobId, byte[] body, long deadlineMs) {
      return unavailable();
    }

    @Override
    public CompletableFuture<Reply> readResults(
        TenantName tenant, String jobId, long after, long waitMs) {
      return unavailable();
    }

    @Override
    public CompletableFuture<Reply> readItemBody(TenantName tenant, String jobId, String itemId) {
      return unavailable();
    }

    @Override
    public CompletableFuture<Reply> cancel(TenantName tenant, String jobId) {
      return unavailable();
    }
  }
}
