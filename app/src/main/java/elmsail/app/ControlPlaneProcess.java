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
 * A control-plane node put together, at the head office or a store: its disk, its links, its part.
 * All on the loop.
 */
final class ControlPlaneProcess implements Program.Running {
  private static final Logger LOG = LoggerFactory.getLogger(ControlPlaneProcess.class);

  private final RpcEndpoint links;
  private final RecordStore records;
  private ControlPlane controlPlane;

  ControlPlaneProcess(Settings settings, NettyEventLoop loop) {
    links = new RpcEndpoint(loop.eventLoop(), loop, settings.rpcAddress());
    ProcessMetrics metrics = ProcessFigures.start(loop, links);
    records = settings.dataDir() == null ? null : records(settings, loop, metrics);
    if (settings.services().contains("head_office")) {
      links.listen().exceptionally(Launch::fatal);
      ControlPlane.startHeadOffice(settings, loop, links, records, metrics)
          .thenAccept(
              started -> {
                controlPlane = started;
                LOG.info(
                    "listening at {} and {}",
                    settings.listenAddresses().get("control"),
                    settings.rpcAddress());
              })
          .exceptionally(Launch::fatal);
    } else {
      controlPlane = ControlPlane.startVault(settings, loop, links, records, metrics);
      links
          .listen()
          .thenRun(() -> LOG.info("listening at {}", settings.rpcAddress()))
          .exceptionally(Launch::fatal);
    }
  }

  private static RecordStore records(Settings settings, NettyEventLoop loop, ProcessMetrics metrics) {
    long mostBytes = (long) settings.limits().diskMb() << 20;
    DirectoryRecordStore records =
        DirectoryRecordStore.open(Path.of(settings.dataDir()), mostBytes, loop::execute);
    records.setCounters(new StorageCounters(metrics.counters()));
    metrics.counters().registerGauge("storage_bytes_on_disk", records::bytesOnDisk);
    return records;
  }

  @Override
  public void changed(Settings settings) {
    LOG.info(
        "settings have changed; what a running control-plane node needs of them stays as it was");
  }

  @Override
  public void end(Runnable ended) {
    if (controlPlane == null) {
      close(ended);
      return;
    }
    controlPlane.end().whenComplete((done, failed) -> close(ended));
  }

  private void close(Runnable ended) {
    links.close();
    if (records != null) {
      records.close();
    }
    ended.run();
  }
}
