package elmsail.controlplane;

import elmsail.batch.store.JobStoreService;
import elmsail.config.ClusterState;
import elmsail.consensus.Replica;
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
import java.util.concurrent.atomic.AtomicReference;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A process of the control plane with its sockets: either a control-plane node, which serves the
 * operators, or a store, which keeps batch jobs. The RPC endpoint, the records and the event loop
 * belong to the caller, who closes them after {@link #shutdown()}. All methods are called on the
 * event loop.
 */
public final class ControlPlane {
  private static final Logger LOG = LoggerFactory.getLogger(ControlPlane.class);
  private static final int MAX_BODY_BYTES = 8 << 20;
  private static final int MAX_METRICS_BODY_BYTES = 1_024;
  private static final long SHUTDOWN_TIMEOUT_MS = 800;
  private static final long SHUTDOWN_POLL_INTERVAL_MS = 10;

  private final NettyEventLoop loop;
  private final ControlPlaneNode controlPlaneNode;
  private final StoreNode storeNode;
  private HttpServer httpServer;
  private boolean shuttingDown;
  private int callsInFlight;

  private ControlPlane(
      NettyEventLoop loop, ControlPlaneNode controlPlaneNode, StoreNode storeNode) {
    this.loop = loop;
    this.controlPlaneNode = controlPlaneNode;
    this.storeNode = storeNode;
  }

  /**
   * Starts a control-plane node, before or after {@code rpc.listen()}.
   *
   * @param settings of this process; its listen address "control" serves the operators
   * @param records null where the machine has no disk: the node never votes, and redirects the
   *     operators' calls that only voters can answer
   * @param metrics the process's counters, gauges and invariants
   * @return completes once the control address is bound; fails with INVALID_SETTINGS if it can't be
   */
  public static CompletableFuture<ControlPlane> startControlPlaneNode(
      Settings settings,
      NettyEventLoop loop,
      RpcEndpoint rpc,
      RecordStore records,
      ProcessMetrics metrics) {
    long processId = new SecureRandom().nextLong();
    NodeEnvironment environment =
        new NodeEnvironment(settings, loop, rpc, rpc, records, processId, metrics);
    ControlPlaneNode controlPlaneNode =
        new ControlPlaneNode(environment, new NettyHttpClient(loop));
    ControlPlane controlPlane = new ControlPlane(loop, controlPlaneNode, null);
    HttpHandler operators = controlPlaneNode.operatorApi();
    MetricsEndpoint metricsEndpoint = new MetricsEndpoint(metrics.counters(), loop);
    return HttpServer.listen(
            loop,
            settings.listenAddresses().get("control"),
            request ->
                MetricsEndpoint.PATH.equals(request.path())
                    ? metricsEndpoint.handle(request)
                    : controlPlane.countInFlight(operators, request),
            MAX_BODY_BYTES)
        .thenApply(
            httpServer -> {
              controlPlane.httpServer = httpServer;
              controlPlaneNode.start();
              return controlPlane;
            });
  }

  /**
   * Starts a store, before or after {@code rpc.listen()}. It runs also if its metrics address
   * cannot be bound.
   *
   * @param records this store's records on disk; not null
   * @param metrics the process's counters, gauges and invariants
   */
  public static ControlPlane startStore(
      Settings settings,
      NettyEventLoop loop,
      RpcEndpoint rpc,
      RecordStore records,
      ProcessMetrics metrics) {
    // The replica reports its records to the job store service, which asks back for the replica.
    AtomicReference<Replica> replica = new AtomicReference<>();
    JobStoreService jobStoreService =
        new JobStoreService(
            loop,
            () -> replica.get() != null && replica.get().isVoting(),
            key -> replica.get().dropKey(key),
            settings.bounds().statusMs(),
            metrics);
    StoreNode storeNode =
        new StoreNode(settings, loop, rpc, rpc, records, jobStoreService, metrics);
    replica.set(storeNode.replica());
    jobStoreService.registerHandlers(rpc);
    jobStoreService.start();
    storeNode.start();
    ControlPlane controlPlane = new ControlPlane(loop, null, storeNode);
    controlPlane.serveMetrics(settings.metricsAddress(), metrics);
    return controlPlane;
  }

  private void serveMetrics(String address, ProcessMetrics metrics) {
    HttpServer.listen(
            loop, address, new MetricsEndpoint(metrics.counters(), loop), MAX_METRICS_BODY_BYTES)
        .whenComplete(
            (httpServer, failure) -> {
              if (failure != null) {
                LOG.warn("no figures are told at {}: {}", address, failure.getMessage());
              } else if (shuttingDown) {
                httpServer.close();
              } else {
                this.httpServer = httpServer;
              }
            });
  }

  /** The store's replica; null at a control-plane node. */
  public Replica replica() {
    return storeNode == null ? null : storeNode.replica();
  }

  /** What the store knows of the cluster; null at a control-plane node. */
  public ClusterState clusterState() {
    return storeNode == null ? null : storeNode.configWatcher();
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
  public CompletableFuture<Void> shutdown() {
    shuttingDown = true;
    if (httpServer != null) {
      httpServer.close();
    }
    if (storeNode != null) {
      storeNode.close();
    }
    if (controlPlaneNode != null) {
      controlPlaneNode.close();
    }
    CompletableFuture<Void> shutdownComplete = new CompletableFuture<>();
    awaitInFlightCalls(shutdownComplete, loop.now() + SHUTDOWN_TIMEOUT_MS);
    return shutdownComplete;
  }

  private void awaitInFlightCalls(CompletableFuture<Void> shutdownComplete, long deadlineMs) {
    if (callsInFlight == 0 || loop.now() >= deadlineMs) {
      // A little later, so that the last response has been sent.
      loop.schedule(SHUTDOWN_POLL_INTERVAL_MS, () -> shutdownComplete.complete(null));
    } else {
      loop.schedule(
          SHUTDOWN_POLL_INTERVAL_MS, () -> awaitInFlightCalls(shutdownComplete, deadlineMs));
    }
  }
}
