package elmsail.app;

import elmsail.controlplane.ControlPlane;
import elmsail.rpc.RpcEndpoint;
import elmsail.runtime.NettyEventLoop;
import elmsail.runtime.ProcessMetrics;
import elmsail.runtime.Settings;
import elmsail.storage.DirectoryRecordStore;
import elmsail.storage.RecordStore;
import elmsail.storage.StorageCounters;
import java.nio.file.Path;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A control-plane node or a store as a process: wires its storage, the RPC endpoint and its
 * services together. All on the event loop.
 */
final class ControlPlaneProcess implements Application.Instance {
  private static final Logger LOG = LoggerFactory.getLogger(ControlPlaneProcess.class);

  private final RpcEndpoint rpc;
  private final RecordStore recordStore;
  private ControlPlane controlPlane;

  ControlPlaneProcess(Settings settings, NettyEventLoop loop) {
    rpc = new RpcEndpoint(loop.eventLoop(), loop, settings.rpcAddress());
    ProcessMetrics metrics = ProcessGauges.register(loop, rpc);
    recordStore = settings.dataDir() == null ? null : recordStore(settings, loop, metrics);
    if (settings.services().contains("head_office")) {
      rpc.listen().exceptionally(ApplicationRunner::exitAfterFailure);
      ControlPlane.startControlPlaneNode(settings, loop, rpc, recordStore, metrics)
          .thenAccept(
              started -> {
                controlPlane = started;
                LOG.info(
                    "listening at {} and {}",
                    settings.listenAddresses().get("control"),
                    settings.rpcAddress());
              })
          .exceptionally(ApplicationRunner::exitAfterFailure);
    } else {
      controlPlane = ControlPlane.startStore(settings, loop, rpc, recordStore, metrics);
      rpc.listen()
          .thenRun(() -> LOG.info("listening at {}", settings.rpcAddress()))
          .exceptionally(ApplicationRunner::exitAfterFailure);
    }
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
    LOG.info(
        "settings have changed; what a running control-plane node needs of them stays as it was");
  }

  @Override
  public void shutDown(Runnable onStopped) {
    if (controlPlane == null) {
      close(onStopped);
      return;
    }
    controlPlane.shutdown().whenComplete((done, failed) -> close(onStopped));
  }

  private void close(Runnable onStopped) {
    rpc.close();
    if (recordStore != null) {
      recordStore.close();
    }
    onStopped.run();
  }
}
