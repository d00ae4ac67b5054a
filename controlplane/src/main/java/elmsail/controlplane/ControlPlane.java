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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A control-plane node with its sockets, in one of two shapes: at the head office, where operators
 * call, or at a store. The inner links, the records and the loop are the caller's, who closes them
 * after {@link #shutdown()}.
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
   * Starts one that serves the operators; called on the loop, before or after {@code
   * links.listen()}.
   *
   * @param records null where the machine has no disk: calls are passed on, and there is no vote
   * @param metrics the process's figures and invariants
   * @return done once the control address is bound; fails with BAD_SETTINGS if it can't be
   */
  public static CompletableFuture<ControlPlane> startControlPlaneNode(
      Settings settings,
      NettyEventLoop loop,
      RpcEndpoint rpc,
      RecordStore records,
      ProcessMetrics metrics) {
    ControlPlaneNode controlPlaneNode =
        new ControlPlaneNode(
            settings,
            loop,
            rpc,
            rpc,
            records,
            new NettyHttpClient(loop),
            new SecureRandom().nextLong(),
            metrics);
    ControlPlane controlPlane = new ControlPlane(loop, controlPlaneNode, null);
    HttpHandler operators = controlPlaneNode.operatorApi();
    MetricsEndpoint metricsEndpoint = new MetricsEndpoint(metrics.counters(), loop);
    return HttpServer.listen(
            loop,
            settings.listenAddresses().get("control"),
            call ->
                MetricsEndpoint.PATH.equals(call.path())
                    ? metricsEndpoint.handle(call)
                    : controlPlane.countInFlight(operators, call),
            MAX_BODY_BYTES)
        .thenApply(
            httpServer -> {
              controlPlane.httpServer = httpServer;
              controlPlaneNode.start();
              return controlPlane;
            });
  }

  /**
   * Starts one at a store, keeping jobs; called on the loop, before or after {@code
   * links.listen()}.
   *
   * @param records with a disk, always
   * @param metrics the process's figures and invariants
   */
  public static ControlPlane startStore(
      Settings settings,
      NettyEventLoop loop,
      RpcEndpoint rpc,
      RecordStore records,
      ProcessMetrics metrics) {
    StoreNode[] storeNode = {null};
    JobStoreService jobRetention =
        new JobStoreService(
            loop,
            () -> storeNode[0] != null && storeNode[0].replica().isVoting(),
            key -> storeNode[0].replica().dropKey(key),
            settings.bounds().statusMs(),
            metrics);
    storeNode[0] = new StoreNode(settings, loop, rpc, rpc, records, jobRetention, metrics);
    jobRetention.registerHandlers(rpc);
    jobRetention.start();
    storeNode[0].start();
    ControlPlane controlPlane = new ControlPlane(loop, null, storeNode[0]);
    controlPlane.serveMetrics(settings.metricsAddress(), metrics);
    return controlPlane;
  }

  /** A store serves all the same where its figures can't be had. */
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

  /** A store's replica; null at the head office. */
  public Replica replica() {
    return storeNode == null ? null : storeNode.replica();
  }

  /** What a store knows; null at the head office. */
  public ClusterState clusterState() {
    return storeNode == null ? null : storeNode.watcher();
  }

  private CompletableFuture<SimpleHttpResponse> countInFlight(
      HttpHandler handler, SimpleHttpRequest call) {
    CompletableFuture<SimpleHttpResponse> reply = handler.handle(call);
    callsInFlight++;
    reply.whenComplete((done, failure) -> callsInFlight--);
    return reply;
  }

  /**
   * Takes no new calls of operators, gives the lease up, and is done once those in hand are
   * answered, within 0.8 s at most. On the loop.
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
      // One turn later, so that the last answer has left.
      loop.schedule(SHUTDOWN_POLL_INTERVAL_MS, () -> shutdownComplete.complete(null));
    } else {
      loop.schedule(
          SHUTDOWN_POLL_INTERVAL_MS, () -> awaitInFlightCalls(shutdownComplete, deadlineMs));
    }
  }
}
