package elmsail.gateway;

import elmsail.batch.BatchService;
import elmsail.batch.TenantName;
import elmsail.config.Route;
import elmsail.config.ServerEntry;
import elmsail.runtime.NettyEventLoop;
import elmsail.runtime.ProcessMetrics;
import elmsail.runtime.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A gateway over loopback with two fake servers whose responses the test writes. */
public final class GatewayTestHarness implements AutoCloseable {
  public final NettyEventLoop loop = new NettyEventLoop();

  /** The loop's timers, which the test can advance. */
  public final AdvanceableTimers timers = new AdvanceableTimers(loop);

  public final FakeClusterState clusterState = new FakeClusterState();
  public final FakeBatchCalls batchCalls = new FakeBatchCalls();
  public final RawConnection.FakeServer firstServer = new RawConnection.FakeServer();
  public final RawConnection.FakeServer secondServer = new RawConnection.FakeServer();
  public final Gateway gateway;
  private final List<RawConnection> clients = new ArrayList<>();

  /** Replies to batch calls with the reply that the test has set. */
  public static final class FakeBatchCalls implements BatchService {
    public volatile Reply reply = new Reply(202, new byte[0], 0);
    public volatile String lastCall = "";
    public volatile TenantName lastTenant = TenantName.NONE;

    private CompletableFuture<Reply> response(TenantName tenant, String call) {
      lastTenant = tenant;
      lastCall = call;
      return CompletableFuture.completedFuture(reply);
    }

    @Override
    public CompletableFuture<Reply> submit(
        TenantName tenant, Route route, String jobId, byte[] body, long deadlineMs) {
      return response(tenant, "submit " + route.name() + " " + jobId + " " + body.length);
    }

    @Override
    public CompletableFuture<Reply> readResults(
        TenantName tenant, String jobId, long after, long waitMs) {
      return response(tenant, "read " + jobId + " " + after + " " + waitMs);
    }

    @Override
    public CompletableFuture<Reply> readItemBody(TenantName tenant, String jobId, String itemId) {
      return response(tenant, "item " + jobId + " " + itemId);
    }

    @Override
    public CompletableFuture<Reply> cancel(TenantName tenant, String jobId) {
      return response(tenant, "cancel " + jobId);
    }
  }

  public GatewayTestHarness() throws Exception {
    clusterState.addRoute("safe", Route.Kind.SAFE, 2, false);
    clusterState.addRoute("unsafe", Route.Kind.UNSAFE, 2, false);
    clusterState.addRoute("once", Route.Kind.UNSAFE, 1, false);
    clusterState.addRoute("stream", Route.Kind.STREAM, 2, false);
    clusterState.addRoute("resume", Route.Kind.STREAM, 2, true);
    clusterState.addRoute("lots", Route.Kind.BATCH, 2, false);
    clusterState.addRoute("sack", Route.Kind.BATCH, 2, false);
    listServers(firstServer);
    Settings settings = GatewaySettings.listeningAt("127.0.0.1:0", "127.0.0.1:0");
    gateway =
        onLoop(
                () ->
                    Gateway.start(
                        settings, loop, timers, clusterState, batchCalls, ProcessMetrics.strict()))
            .get(RawConnection.WAIT_MS, TimeUnit.MILLISECONDS);
  }

  /** Runs an action on the loop and waits for its result. */
  public <T> T onLoop(Callable<T> action) throws Exception {
    CompletableFuture<T> done = new CompletableFuture<>();
    loop.execute(
        () -> {
          try {
            done.complete(action.call());
          } catch (Exception e) {
            done.completeExceptionally(e);
          }
        });
    return done.get(RawConnection.WAIT_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Sets the server list to these servers, with the ids i-0, i-1 and so on. The first server is in
   * the gateway's zone, so the gateway chooses that server first.
   */
  public void listServers(RawConnection.FakeServer... fakeServers) throws Exception {
    List<ServerEntry> entries = new ArrayList<>();
    for (int i = 0; i < fakeServers.length; i++) {
      entries.add(
          new ServerEntry(
              "i-" + i, "s", fakeServers[i].address(), i == 0 ? "z" : "far", 24, false, 0));
    }
    setServers(entries);
  }

  public void setServers(List<ServerEntry> entries) throws Exception {
    onLoop(
        () -> {
          clusterState.servers = entries;
          clusterState.notifyListeners();
          return null;
        });
  }

  public RawConnection connectClient() {
    RawConnection connection = RawConnection.connect(gateway.clientAddress());
    clients.add(connection);
    return connection;
  }

  /** Connects a client and sends a request on a route. */
  public RawConnection request(String route, String id, String... headers) {
    return connectClient().write(requestText(route, id, headers));
  }

  public static String requestText(String route, String id, String... headers) {
    StringBuilder text =
        new StringBuilder(
            "POST /"
                + route
                + "/2f HTTP/1.1\r\nHost: "
                + FakeClusterState.HOST
                + "\r\nElmsail-Request-Id: "
                + id
                + "\r\n");
    for (String h : headers) {
      text.append(h).append("\r\n");
    }
    return text + "Content-Length: 4\r\n\r\nbody";
  }

  /** A server's response with a Content-Length. */
  public static String response(int status, String id, String body, String... headers) {
    StringBuilder text =
        new StringBuilder("HTTP/1.1 " + status + " X\r\nElmsail-Request-Id: " + id + "\r\n");
    for (String h : headers) {
      text.append(h).append("\r\n");
    }
    return text + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  public static String okResponse(String id, String body) {
    return response(200, id, body, "Elmsail-Postmark: stamp-" + id);
  }

  public static String notRunResponse(int status, String id) {
    return response(status, id, "", "Elmsail-Not-Run: 1");
  }

  /** The head of a streamed response. */
  public static String streamHead(String id, String postmark) {
    return "HTTP/1.1 200 OK\r\nElmsail-Request-Id: "
        + id
        + "\r\nElmsail-Postmark: "
        + postmark
        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  }

  public static String chunk(String data) {
    return Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
  }

  public static String event(int id) {
    return "id: " + id + "\ndata: e" + id + "\n\n";
  }

  @Override
  public void close() {
    clients.forEach(RawConnection::close);
    firstServer.close();
    secondServer.close();
    loop.shutdown().awaitUninterruptibly(5, TimeUnit.SECONDS);
  }
}
