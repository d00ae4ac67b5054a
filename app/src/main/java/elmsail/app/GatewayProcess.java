package elmsail.app;

import elmsail.batch.BatchSettings;
import elmsail.batch.api.BatchApi;
import elmsail.config.PlatformClient;
import elmsail.config.watch.ConfigWatcher;
import elmsail.config.watch.PeerRole;
import elmsail.config.watch.StoreStatus;
import elmsail.consensus.RegisterClient;
import elmsail.consensus.VoterSetSource;
import elmsail.consensus.VoterSets;
import elmsail.gateway.Gateway;
import elmsail.rpc.RpcEndpoint;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.NettyEventLoop;
import elmsail.runtime.ProcessMetrics;
import elmsail.runtime.Settings;
import elmsail.runtime.http.NettyHttpClient;
import java.security.SecureRandom;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A gateway process: wires the RPC endpoint, the configuration watch, the batch API and the HTTP
 * side together. All on the event loop.
 */
final class GatewayProcess implements Application.Instance {
  private static final Logger LOG = LoggerFactory.getLogger(GatewayProcess.class);

  /** The name of the job stores' voter set in messages and on disk. */
  private static final String JOB_STORE_SET = "shelf";

  private final RpcEndpoint rpc;
  private final ConfigWatcher watcher;
  private final Optional<GatewayUsage> usage;
  private Gateway gateway;
  private boolean stopping;
  private Runnable onStopped;

  GatewayProcess(Settings settings, NettyEventLoop loop) {
    long instanceId = new SecureRandom().nextLong();
    String ownAddress = settings.rpcAddress();
    rpc = new RpcEndpoint(loop.eventLoop(), loop, ownAddress);
    ProcessMetrics metrics = ProcessGauges.register(loop, rpc);
    PlatformClient platform =
        settings.platform() == null
            ? null
            : new PlatformClient(new NettyHttpClient(loop), settings.platform().address(), loop);
    watcher =
        new ConfigWatcher(
            rpc, loop, settings, PeerRole.GATEWAY, instanceId, () -> StoreStatus.NONE, platform);
    metrics.counters().registerGauge("config_watch_failures", watcher::failedRequests);
    RegisterClient jobStore =
        new RegisterClient(
            JOB_STORE_SET,
            rpc,
            loop,
            new StoreVoters(watcher),
            instanceId,
            ownAddress,
            address -> zoneDistance(ownAddress, address));
    BatchApi jobs =
        new BatchApi(
            jobStore,
            rpc,
            loop,
            watcher,
            new BatchSettings(ownAddress, settings.bounds().cancelMs(), instanceId),
            metrics);
    jobs.registerHandlers(rpc);
    usage = GatewayUsage.create(settings, loop, rpc, watcher, instanceId);
    watcher.start();
    rpc.listen()
        .thenCompose(nothing -> Gateway.start(settings, loop, watcher, jobs, metrics))
        .thenAccept(
            started -> {
              gateway = started;
              usage.ifPresent(each -> each.start(started));
              jobs.setServers(started.itemServers());
              watcher.setDemandSource(() -> started.demand(jobs.waitingItems()));
              jobs.start();
              LOG.info(
                  "listening at {} and {}", settings.listenAddresses().get("front"), ownAddress);
              if (stopping) {
                stopGateway();
              }
            })
        .exceptionally(failure -> ApplicationRunner.exitAfterFailure(settings, failure));
  }

  /**
   * The distance of another process: 0 if the first two parts of its address, which stand for its
   * zone, are the same, else 1.
   */
  private static int zoneDistance(String ownAddress, String other) {
    int dots = 0;
    for (int i = 0; i < Math.min(ownAddress.length(), other.length()); i++) {
      if (ownAddress.charAt(i) != other.charAt(i)) {
        return 1;
      }
      if (ownAddress.charAt(i) == '.' && ++dots == 2) {
        return 0;
      }
    }
    return 0;
  }

  @Override
  public void onSettingsChanged(Settings settings) {
    watcher.onSettingsChanged(settings);
  }

  @Override
  public void shutDown(Runnable whenStopped) {
    onStopped = whenStopped;
    stopping = true;
    if (gateway != null) {
      stopGateway();
    } else {
      whenStopped.run();
    }
  }

  private void stopGateway() {
    gateway
        .stop()
        .whenComplete(
            (done, failed) -> {
              usage.ifPresent(GatewayUsage::close);
              watcher.close();
              rpc.close();
              onStopped.run();
            });
  }

  /**
   * The job-store voters, merged from what control-plane nodes and the stores themselves report.
   */
  private static final class StoreVoters implements VoterSetSource {
    private final ConfigWatcher watcher;
    private VoterSet learned = new VoterSet();

    StoreVoters(ConfigWatcher watcher) {
      this.watcher = watcher;
    }

    @Override
    public VoterSet current() {
      learned = VoterSets.merge(learned, watcher.view().jobStoreVoters);
      return learned;
    }

    @Override
    public void learn(VoterSet newer) {
      learned = VoterSets.merge(learned, newer);
    }
  }
}
