package elmsail.gateway.load;

import elmsail.config.ClusterState;
import elmsail.rpc.messages.LoadReport;
import elmsail.runtime.Counters;
import elmsail.runtime.Timers;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * Exchanges loads with the other gateways. Each gateway reports its own load to the aggregator of
 * its zone ({@link ZoneMembers}) after each change. The aggregator ({@link LoadAggregator}) sends
 * the sum of its zone to other zones, and the total to all gateways of its zone. So the number of
 * datagrams that a gateway sends and receives does not grow with the number of gateways. While no
 * gateway has a load to report, for example because all servers report their load themselves,
 * gateways only send the periodic reports of {@link PeriodicReportSender}. Owned by the event loop;
 * all times in ms on the loop's clock.
 */
public final class LoadExchange implements PeerLoads {
  private static final String FOREIGN = "load_reports_foreign";
  private static final long MIN_REPORT_INTERVAL_MS = 10;

  /** An unchanged report is repeated after this time, as datagrams may be lost. */
  private static final long REPORT_REPEAT_INTERVAL_MS = 350;

  /**
   * After this time without a change of this gateway's load and without a received report with a
   * load, neither reports nor totals are sent.
   */
  private static final long ACTIVITY_TIMEOUT_MS = 2_000;

  private final Timers timers;
  private final String ownAddress;
  private final Supplier<Map<String, ServerLoad>> ownLoads;
  private final BiConsumer<String, LoadReport> send;
  private final ZoneMembers members;
  private final LoadTable table;
  private final LoadReports reports;
  private final LoadAggregator aggregator;
  private final PeriodicReportSender periodicReportSender;
  private final ListedPeers listedPeers;
  private final Counters.Counter foreignReports;
  private long lastReportAt = Long.MIN_VALUE / 2;
  private boolean reportScheduled;
  private long lastActiveAt = Long.MIN_VALUE / 2;
  private boolean closed;

  /**
   * Sends nothing before {@link #start}.
   *
   * @param ownAddress this gateway's internal address
   * @param instanceId an id that differs after each start of the process
   * @param ownLoads this gateway's own load by server id
   * @param send sends a report to an internal address; the report may be lost
   * @param counters counters for dropped reports of unlisted senders
   */
  public LoadExchange(
      Timers timers,
      ClusterState clusterState,
      String ownAddress,
      String zone,
      long instanceId,
      Supplier<Map<String, ServerLoad>> ownLoads,
      BiConsumer<String, LoadReport> send,
      Counters counters) {
    this.timers = timers;
    this.ownAddress = ownAddress;
    this.ownLoads = ownLoads;
    this.send = send;
    members = new ZoneMembers(ownAddress, zone, timers);
    table = new LoadTable(zone, timers);
    listedPeers = new ListedPeers(clusterState, timers);
    foreignReports = counters.counter(FOREIGN);
    reports = new LoadReports(ownAddress, zone, instanceId);
    aggregator =
        new LoadAggregator(
            timers, members, table, reports, ownLoads, send, this::hasRecentLoadActivity);
    periodicReportSender =
        new PeriodicReportSender(
            timers, clusterState, members, this::ownReport, send, this::hasRecentLoadActivity);
  }

  /** Starts the periodic tasks. */
  public void start() {
    timers.schedule(REPORT_REPEAT_INTERVAL_MS, this::repeatReport);
    aggregator.start();
    periodicReportSender.start();
  }

  /** Stops sending and receiving reports. */
  public void close() {
    closed = true;
    aggregator.close();
    periodicReportSender.close();
  }

  /**
   * Schedules a report of this gateway's own load, which has changed. Reports are sent no more
   * often than the minimum interval.
   */
  public void onLoadChanged() {
    aggregator.onLoadsChanged();
    recordLoadActivity();
    if (reportScheduled || closed) {
      return;
    }
    reportScheduled = true;
    timers.schedule(
        Math.max(0, lastReportAt + MIN_REPORT_INTERVAL_MS - timers.now()), this::report);
  }

  /**
   * Processes a received report. A report of this gateway itself is ignored. A report is dropped
   * and counted if the control plane neither lists nor has recently listed its sender.
   */
  public void onReport(LoadReport report) {
    if (closed || report.sender.equals(ownAddress)) {
      return;
    }
    if (!listedPeers.includes(report.sender)) {
      foreignReports.add(1);
      return;
    }
    boolean isNewInstance = members.onReport(report.sender, report.zone, report.instanceId);
    table.onReport(report);
    if (!report.servers.isEmpty()) {
      recordLoadActivity();
    }
    if (report.scope == LoadReport.TOTAL) {
      members.onTotal(report.sender);
    }
    aggregator.onLoadsChanged();
    if (isNewInstance) {
      periodicReportSender.sendOwnReport(report.sender);
    }
  }

  @Override
  public boolean isAvailable() {
    return aggregator.isAggregating() ? aggregator.hasZonePeers() : table.hasRecentTotal();
  }

  @Override
  public ServerLoad loadOf(String serverId) {
    return aggregator.isAggregating() ? aggregator.totalOf(serverId) : table.totalOf(serverId);
  }

  private boolean hasRecentLoadActivity() {
    return timers.now() - lastActiveAt <= ACTIVITY_TIMEOUT_MS;
  }

  private void recordLoadActivity() {
    if (!hasRecentLoadActivity()) {
      members.expectTotal();
    }
    lastActiveAt = timers.now();
  }

  private LoadReport ownReport() {
    return reports.create(LoadReport.OWN, ownLoads.get());
  }

  private void report() {
    reportScheduled = false;
    if (closed) {
      return;
    }
    lastReportAt = timers.now();
    String aggregatorAddress = members.aggregator();
    if (!aggregatorAddress.equals(ownAddress)) {
      send.accept(aggregatorAddress, ownReport());
    }
  }

  private void repeatReport() {
    if (closed) {
      return;
    }
    timers.schedule(REPORT_REPEAT_INTERVAL_MS, this::repeatReport);
    if (hasRecentLoadActivity() && timers.now() - lastReportAt >= REPORT_REPEAT_INTERVAL_MS / 2) {
      report();
    }
  }
}
