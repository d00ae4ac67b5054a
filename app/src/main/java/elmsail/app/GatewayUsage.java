package elmsail.app;

import elmsail.config.watch.ClockExchange;
import elmsail.config.watch.ConfigWatcher;
import elmsail.gateway.Gateway;
import elmsail.gateway.usage.UsageMeter;
import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.Settings;
import elmsail.runtime.Timers;
import elmsail.runtime.WallClock;
import java.util.Optional;
import java.util.function.Supplier;

/** A gateway's part in the reports of use: its meter, and the clock by which that counts. */
final class GatewayUsage {
  private final ClockExchange clockExchange;
  private final UsageMeter meter;

  private GatewayUsage(
      Settings settings,
      Timers timers,
      RpcClient rpcClient,
      Supplier<VoterSet> voters,
      long instanceId) {
    clockExchange =
        new ClockExchange(rpcClient, timers, WallClock.SYSTEM, voters, settings.rpcAddress());
    meter =
        new UsageMeter(
            rpcClient, timers, clockExchange.clusterClock(), voters, instanceId, settings.bounds());
  }

  /** Creates one that does nothing before {@link #start}; empty where no reports are wanted. */
  static Optional<GatewayUsage> create(
      Settings settings,
      Timers timers,
      RpcClient rpcClient,
      ConfigWatcher watcher,
      long instanceId) {
    return UsageMeter.isWanted(settings)
        ? Optional.of(
            new GatewayUsage(
                settings, timers, rpcClient, () -> watcher.view().controlPlaneVoters, instanceId))
        : Optional.empty();
  }

  /** Counts the requests of that gateway from now on, and reports them. */
  void start(Gateway gateway) {
    gateway.setUsageListener(meter);
    clockExchange.start();
    meter.start();
  }

  void close() {
    clockExchange.close();
    meter.close();
  }
}
