package elmsail.controlplane;

import elmsail.rpc.RpcEndpoint;
import elmsail.runtime.NettyEventLoop;
import elmsail.runtime.ProcessMetrics;
import elmsail.runtime.Settings;
import elmsail.runtime.http.HttpHandler;
import elmsail.runtime.http.HttpServer;
import elmsail.runtime.http.MetricsEndpoint;
import elmsail.runtime.http.NettyHttpClient;
import elmsail.runtime.http.SimpleHttpRequest;
import elmsail.runtime.http.SimpleHttpResponse;
import elmsail.storage.RecordStore;
import java.security.SecureRandom;
import java.util.concurrent.CompletableFuture;

/**
 * Runs a {@link ControlPlaneNode} with its sockets and serves the operators at the control address.
 * Runs on the event loop.
 */
public final class ControlPlaneServer implements RunningService {
  private static final int MAX_BODY_BYTES = 8 << 20;
  private static final long SHUTDOWN_TIMEOUT_MS = 800;
  private static final long SHUTDOWN_POLL_INTERVAL_MS = 10;

  private final NettyEventLoop loop;
  private final ControlPlaneNode node;
  private final HttpHandler operatorApi;
  private final MetricsEndpoint metricsEndpoint;
  private HttpServer httpServer;
  private int callsInFlight;

  private ControlPlaneServer(NettyEventLoop loop, ControlPlaneNode node, ProcessMetrics metrics) {
    this.loop = loop;
    this.node = node;
    operatorApi = node.operatorApi();
    metricsEndpoint = new MetricsEndpoint(metrics.counters(), loop);
  }

  /**
   * Starts a control-plane node, after {@code rpc.listen()}.
   *
   * @param settings of this process; its listen address "control" serves the operators
   * @param records this process's records on disk; null if the machine has no disk. A node without
   *     a disk never votes, and redirects the operators' calls that only voters can answer.
   * @param metrics the process's counters, gauges and invariants
   * @return completes once the control address is bound; fails with {@link
   *     elmsail.runtime.AddressUnavailableException} if it cannot be bound
   */
  public static CompletableFuture<ControlPlaneServer> start(
      Settings settings,
      NettyEventLoop loop,
      RpcEndpoint rpc,
      RecordStore records,
      ProcessMetrics metrics) {
    long processId = new SecureRandom().nextLong();
    NodeEnvironment environment =
        new NodeEnvironment(settings, loop, rpc, rpc, records, processId, metrics);
    ControlPlaneNode node = new ControlPlaneNode(environment, new NettyHttpClient(loop));
    ControlPlaneServer server = new ControlPlaneServer(loop, node, metrics);
    return HttpServer.listen(
            loop, settings.listenAddresses().get("control"), server::handle, MAX_BODY_BYTES)
        .thenApply(
            httpServer -> {
              server.httpServer = httpServer;
              node.start();
              return server;
            });
  }

  private CompletableFuture<SimpleHttpResponse> handle(SimpleHttpRequest request) {
    return MetricsEndpoint.PATH.equals(request.path())
        ? metricsEndpoint.handle(request)
        : countInFlight(operatorApi, request);
  }

  @Override
  public void onSettingsChanged(Settings settings) {
    node.onSettingsChanged(settings);
  }

  private CompletableFuture<SimpleHttpResponse> countInFlight(
      HttpHandler handler, SimpleHttpRequest request) {
    CompletableFuture<SimpleHttpResponse> reply = handler.handle(request);
    callsInFlight++;
    reply.whenComplete((done, failure) -> callsInFlight--);
    return reply;
  }

  /**
   * Accepts no new calls of operators, releases the lease, and completes once the calls in flight
   * are answered, after {@value #SHUTDOWN_TIMEOUT_MS} ms at the latest. Never fails.
   */
  @Override
  public CompletableFuture<Void> shutdown() {
    httpServer.close();
    node.close();
    CompletableFuture<Void> shutdownComplete = new CompletableFuture<>();
    awaitInFlightCalls(shutdownComplete, loop.now() + SHUTDOWN_TIMEOUT_MS);
    return shutdownComplete;
  }

  private void awaitInFlightCalls(CompletableFuture<Void> shutdownComplete, long deadlineMs) {
    if (callsInFlight == 0 || loop.now() >= deadlineMs) {
      // Completes with a delay, so that the last response is sent first.
      loop.schedule(SHUTDOWN_POLL_INTERVAL_MS, () -> shutdownComplete.complete(null));
    } else {
      loop.schedule(
          SHUTDOWN_POLL_INTERVAL_MS, () -> awaitInFlightCalls(shutdownComplete, deadlineMs));
    }
  }
}
