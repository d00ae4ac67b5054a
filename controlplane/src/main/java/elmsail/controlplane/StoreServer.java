package elmsail.controlplane;

import elmsail.batch.store.JobStoreService;
import elmsail.config.ClusterState;
import elmsail.consensus.Replica;
import elmsail.rpc.RpcEndpoint;
import elmsail.runtime.NettyEventLoop;
import elmsail.runtime.ProcessMetrics;
import elmsail.runtime.Settings;
import elmsail.runtime.http.HttpServer;
import elmsail.runtime.http.MetricsEndpoint;
import elmsail.storage.RecordStore;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Runs a {@link StoreNode} with its sockets: stores batch jobs and serves the store's metrics. Runs
 * on the event loop.
 */
public final class StoreServer implements RunningService {
  private static final int MAX_METRICS_BODY_BYTES = 1_024;

  private final StoreNode node;
  private final HttpServer metricsServer;

  private StoreServer(StoreNode node, HttpServer metricsServer) {
    this.node = node;
    this.metricsServer = metricsServer;
  }

  /**
   * Starts a store, after {@code rpc.listen()}.
   *
   * @param records this store's records on disk; not null
   * @param metrics the process's counters, gauges and invariants
   * @return completes once the metrics address is bound; fails with {@link
   *     elmsail.runtime.AddressUnavailableException} if it cannot be bound
   */
  public static CompletableFuture<StoreServer> start(
      Settings settings,
      NettyEventLoop loop,
      RpcEndpoint rpc,
      RecordStore records,
      ProcessMetrics metrics) {
    StoreNode node = createNode(settings, loop, rpc, records, metrics);
    return HttpServer.listen(
            loop,
            settings.metricsAddress(),
            new MetricsEndpoint(metrics.counters(), loop),
            MAX_METRICS_BODY_BYTES)
        .thenApply(metricsServer -> new StoreServer(node, metricsServer));
  }

  private static StoreNode createNode(
      Settings settings,
      NettyEventLoop loop,
      RpcEndpoint rpc,
      RecordStore records,
      ProcessMetrics metrics) {
    // The replica reports its records to the job store service, which in turn calls the replica.
    AtomicReference<Replica> replica = new AtomicReference<>();
    JobStoreService jobStoreService =
        new JobStoreService(
            loop,
            () -> replica.get() != null && replica.get().isVoting(),
            key -> replica.get().dropKey(key),
            settings.bounds().statusMs(),
            metrics);
    StoreNode node = new StoreNode(settings, loop, rpc, rpc, records, jobStoreService, metrics);
    replica.set(node.replica());
    jobStoreService.registerHandlers(rpc);
    jobStoreService.start();
    node.start();
    return node;
  }

  /** The store's replica. */
  public Replica replica() {
    return node.replica();
  }

  /** The state of the cluster as the store knows it. */
  public ClusterState clusterState() {
    return node.configWatcher();
  }

  @Override
  public void onSettingsChanged(Settings settings) {
    node.onSettingsChanged(settings);
  }

  @Override
  public CompletableFuture<Void> shutdown() {
    metricsServer.close();
    node.close();
    return CompletableFuture.completedFuture(null);
  }
}
