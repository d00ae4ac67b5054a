package elmsail.app;

import elmsail.batch.api.BatchApi;
import elmsail.config.PlatformClient;
import elmsail.config.watch.ConfigWatcher;
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
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A gateway put together: its links, what it knows, its jobs and its clients. All on the loop. */
final class GatewayProcess implements Program.Running {
  private static final Logger LOG = LoggerFactory.getLogger(GatewayProcess.class);

  private final RpcEndpoint links;
  private final ConfigWatcher known;
  private Gateway gateway;
  private boolean ending;
  private Runnable whenEnded;

  GatewayProcess(Settings settings, NettyEventLoop loop) {
    long who = new SecureRandom().nextLong();
    String own = settings.rpcAddress();
    links = new RpcEndpoint(loop.eventLoop(), loop, own);
    ProcessMetrics metrics = ProcessFigures.start(loop, links);
    PlatformClient platform =
        settings.platform() == null
            ? null
            : new PlatformClient(new NettyHttpClient(loop), settings.platform().address(), loop);
    known =
        new ConfigWatcher(links, loop, settings, "gateway", who, () -> StoreStatus.NONE, platform);
    RegisterClient storeSet =
        new RegisterClient(
            "shelf", links, loop, new StoreVoters(known), who, own, address -> near(own, address));
    BatchApi jobs =
        new BatchApi(storeSet, links, loop, known, own, who, settings.bounds().cancelMs(), metrics);
    jobs.registerHandlers(links);
    CompletableFuture<Void> listening = links.listen();
    known.start();
    Gateway.start(settings, loop, known, jobs, metrics)
        .thenAcceptBoth(
            listening,
            (started, nothing) -> {
              gateway = started;
              jobs.setServers(started.itemServers());
              jobs.start();
              LOG.info("listening at {} and {}", settings.listenAddresses().get("front"), own);
              if (ending) {
                finish();
              }
            })
        .exceptionally(Launch::fatal);
  }

  /**
   * How far another process is: the first two parts of its address tell its zone as far as is
   * known.
   */
  private static int near(String own, String other) {
    int dots = 0;
    for (int i = 0; i < Math.min(own.length(), other.length()); i++) {
      if (own.charAt(i) != other.charAt(i)) {
        return 1;
      }
      if (own.charAt(i) == '.' && ++dots == 2) {
        return 0;
      }
    }
    return 0;
  }

  @Override
  public void changed(Settings settings) {
    LOG.info("settings have changed; of them, the seeds are taken at once");
    known.changed(settings);
  }

  @Override
  public void end(Runnable ended) {
    whenEnded = ended;
    ending = true;
    if (gateway != null) {
      finish();
    } else {
      ended.run();
    }
  }

  private void finish() {
    gateway
        .stop()
        .whenComplete(
            (done, failed) -> {
              known.close();
              links.close();
              whenEnded.run();
            });
  }

  /** The stores' voters: what control-plane nodes and the stores themselves answered. */
  private static final class StoreVoters implements VoterSetSource {
    private final ConfigWatcher known;
    private VoterSet learned = new VoterSet();

    StoreVoters(ConfigWatcher known) {
      this.known = known;
    }

    @Override
    public VoterSet current() {
      learned = VoterSets.merge(learned, known.view().jobStoreVoters);
      return learned;
    }

    @Override
    public void learn(VoterSet newer) {
      learned = VoterSets.merge(learned, newer);
    }
  }
}
