package elmsail.app;

import elmsail.controlplane.ControlPlaneServer;
import elmsail.controlplane.RunningService;
import elmsail.controlplane.StoreServer;
import elmsail.rpc.RpcEndpoint;
import elmsail.runtime.NettyEventLoop;
import elmsail.runtime.ProcessMetrics;
import elmsail.runtime.Settings;
import elmsail.storage.DirectoryRecordStore;
import elmsail.storage.RecordStore;
import elmsail.storage.StorageCounters;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A control-plane node or a store as a process: wires its storage, the RPC endpoint and its
 * services together. All on the event loop.
 */
final class ControlPlaneProcess implements Application.Instance {
  private static final Logger LOG = LoggerFactory.getLogger(ControlPlaneProcess.class);

  /** In the settings' {@code serves}: a control-plane node, not a store. */
  private static final String OPERATORS = "head_office";

  private final RpcEndpoint rpc;
  private final RecordStore recordStore;
  private RunningService service;

  ControlPlaneProcess(Settings settings, NettyEventLoop loop) {
    rpc = new RpcEndpoint(loop.eventLoop(), loop, settings.rpcAddress());
    ProcessMetrics metrics = ProcessGauges.register(loop, rpc);
    recordStore = settings.dataDir() == null ? null : recordStore(settings, loop, metrics);
    boolean servesOperators = settings.services().contains(OPERATORS);
    String listenAddress =
        servesOperators ? settings.listenAddresses().get("control") : settings.metricsAddress();
    rpc.listen()
        .thenCompose(nothing -> startService(settings, loop, metrics))
        .thenAccept(
            started -> {
              service = started;
              LOG.info("listening at {} and {}", listenAddress, settings.rpcAddress());
            })
        .exceptionally(failure -> ApplicationRunner.exitAfterFailure(settings, failure));
  }

  private CompletableFuture<? extends RunningService> startService(
      Settings settings, NettyEventLoop loop, ProcessMetrics metrics) {
    return settings.services().contains(OPERATORS)
        ? ControlPlaneServer.start(settings, loop, rpc, recordStore, metrics)
        : StoreServer.start(settings, loop, rpc, recordStore, metrics);
  }

  private static RecordStore recordStore(
      Settings settings, NettyEventLoop loop, ProcessMetrics metrics) {
    long maxBytes = (long) settings.limits().diskMb() << 20;
    DirectoryRecordStore records =
        DirectoryRecordStore.open(Path.of(settings.dataDir()), maxBytes, loop::execute);
    records.setCounters(new StorageCounters(metrics.counters()));
    metrics.counters().registerGauge("storage_bytes_on_disk", records::bytesOnDisk);
    return records;
  }

  @Override
  public void onSettingsChanged(Settings settings) {
    if (service != null) {
      service.onSettingsChanged(settings);
    }
  }

  @Override
  public void shutDown(Runnable onStopped) {
    if (service == null) {
      close(onStopped);
      return;
    }
    service.shutdown().whenComplete((done, failed) -> close(onStopped));
  }

  private void close(Runnable onStopped) {
    rpc.close();
    if (recordStore != null) {
      recordStore.close();
    }
    onStopped.run();
  }
}
