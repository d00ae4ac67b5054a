package elmsail.controlplane;

import elmsail.config.watch.ClockExchange;
import elmsail.config.watch.ClusterClock;
import elmsail.consensus.Register;
import elmsail.rpc.messages.UsageReport;
import elmsail.rpc.messages.UsageReportResponse;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Settings;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * A node's part in the usage reporting duty: receives the gateways' counts, agrees with the other
 * machines on the time of day, and reports to the platform while this node holds the lease ({@link
 * UsageReporter}). Runs on the event loop.
 */
final class UsageManager {
  /** Maximum number of windows by which a gateway's clock may be ahead of this node's clock. */
  private static final int MAX_WINDOWS_AHEAD = 1;

  private final NodeEnvironment environment;
  private final DutyLease lease;
  private final ClockExchange clockExchange;
  private final ClusterClock clock;
  private final UsageTable table;
  private final UsageCounters counters;
  private final UsageReporter reporter;

  /**
   * Creates a manager that does nothing before {@link #start}.
   *
   * @param environment of this process, whose settings enable the duty
   * @param register of the control-plane voters
   * @param voters the control-plane voters as this node knows them
   */
  UsageManager(
      NodeEnvironment environment,
      DutyLease lease,
      Register register,
      Supplier<VoterSet> voters,
      PlatformDutyClient platform) {
    this.environment = environment;
    this.lease = lease;
    Settings.Bounds bounds = environment.settings().bounds();
    clockExchange =
        new ClockExchange(
            environment.rpcClient(),
            environment.timers(),
            environment.wallClock(),
            voters,
            environment.localAddress());
    clock = clockExchange.clusterClock();
    counters = new UsageCounters(environment.metrics().counters());
    table = new UsageTable(UsageReporter.reportableWindows(bounds) + MAX_WINDOWS_AHEAD + 1);
    reporter =
        new UsageReporter(
            environment.timers(),
            lease,
            register,
            table,
            clock,
            platform,
            counters,
            bounds,
            new Random(environment.processId()));
  }

  /** Whether the settings enable usage reports. */
  static boolean isEnabled(Settings settings) {
    return settings.platform() != null
        && settings.platform().duties().contains(Settings.Platform.USAGE_DUTY)
        && settings.bounds().usageWindowMs() > 0;
  }

  void start() {
    ClockExchange.registerHandler(environment.handlers(), environment.wallClock());
    environment.handlers().register(UsageReport.class, this::onReport);
    clockExchange.start();
    reporter.start();
  }

  private CompletableFuture<UsageReportResponse> onReport(UsageReport report) {
    counters.reportsReceived.add(1);
    if (!clock.isAgreed()) {
      return CompletableFuture.failedFuture(
          new ElmsailException(
              ErrorCode.NO_QUORUM,
              "usage report rejected: the cluster has not agreed on the time of day yet"));
    }
    table.onReport(report, reporter.windowAt(clock.now()) + MAX_WINDOWS_AHEAD);
    UsageReportResponse response = new UsageReportResponse();
    response.holdsLease = lease.term() > 0;
    response.processId = environment.processId();
    return CompletableFuture.completedFuture(response);
  }

  void close() {
    clockExchange.close();
    reporter.close();
  }
}
