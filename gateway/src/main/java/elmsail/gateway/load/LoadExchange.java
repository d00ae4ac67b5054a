package elmsail.gateway.load;

import elmsail.config.ClusterState;
import elmsail.config.watch.RendezvousHash;
import elmsail.rpc.messages.LoadReport;
import elmsail.runtime.Timers;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * When this gateway tells which others what is open at the servers. Each tells the aggregator of
 * its zone ({@link ZoneMembers}) after each change; that one adds up, tells the sum of the zone to
 * those of other zones, and the total to all gateways of its zone. So each gateway sends and hears
 * a number of datagrams that does not grow with the number of gateways. Where nothing is open, as
 * all servers tell their load themselves, next to nothing is told. All on the loop.
 */
public final class LoadExchange implements PeerLoads {
  /** Between two reports to the aggregator at the least. */
  private static final long MIN_REPORT_INTERVAL_MS = 10;

  /** Between two totals to the zone at the least. */
  private static final long MIN_TOTAL_INTERVAL_MS = 25;

  /** How often a gateway looks whether it is to sum up; each look of an idle process costs. */
  private static final long AGGREGATOR_CHECK_INTERVAL_MS = 130;

  /** Without a change a report is repeated after so long, and a total too. */
  private static final long REPORT_REPEAT_INTERVAL_MS = 350;

  private static final long TOTAL_REPEAT_INTERVAL_MS = 130;

  /** Between the sums from zone to zone. */
  private static final long ZONE_SUM_INTERVAL_MS = 90;

  /** How often gateways hear that this one is there: those not heard, of the zone, and others. */
  private static final long UNKNOWN_PEER_INTRODUCTION_INTERVAL_MS = 500;

  private static final long ZONE_PEER_INTRODUCTION_INTERVAL_MS = 3_000;
  private static final long OTHER_ZONE_INTRODUCTION_INTERVAL_MS = 8_000;

  /**
   * The sum of a zone goes to so many gateways of each other one: the first of them may be gone.
   */
  private static final int RECEIVERS_PER_ZONE = 2;

  /** Where nothing was open anywhere for so long, nothing is told but that this one is there. */
  private static final long ACTIVITY_TIMEOUT_MS = 2_000;

  /** Servers in one report: those with the most open. A datagram stays within a few packets. */
  private static final int MAX_SERVERS_PER_REPORT = 64;

  private final Timers timers;
  private final ClusterState clusterState;
  private final String ownAddress;
  private final String zone;
  private final long instanceId;
  private final Supplier<Map<String, ServerLoad>> ownLoads;
  private final BiConsumer<String, LoadReport> send;
  private final ZoneMembers members;
  private final LoadTable table;
  private final Map<String, Long> lastIntroducedAt = new HashMap<>();
  private Map<String, ServerLoad> total = Map.of();
  private boolean aggregating;
  private boolean hasZonePeers;
  private boolean totalChanged;
  private long lastTotalAt = Long.MIN_VALUE / 2;
  private long lastZoneSumAt = Long.MIN_VALUE / 2;
  private long sequence;
  private long lastReportAt = Long.MIN_VALUE / 2;
  private boolean reportScheduled;
  private long lastActiveAt = Long.MIN_VALUE / 2;
  private boolean closed;

  /**
   * Tells nothing before {@link #start}.
   *
   * @param ownAddress this gateway's inner address
   * @param ownLoads what this gateway has open, by server id
   * @param send sends a report to an inner address; it may be lost
   */
  public LoadExchange(
      Timers timers,
      ClusterState clusterState,
      String ownAddress,
      String zone,
      long instanceId,
      Supplier<Map<String, ServerLoad>> ownLoads,
      BiConsumer<String, LoadReport> send) {
    this.timers = timers;
    this.clusterState = clusterState;
    this.ownAddress = ownAddress;
    this.zone = zone;
    this.instanceId = instanceId;
    this.ownLoads = ownLoads;
    this.send = send;
    members = new ZoneMembers(ownAddress, zone, timers);
    table = new LoadTable(zone, timers);
  }

  /** Begins to tell. */
  public void start() {
    timers.schedule(REPORT_REPEAT_INTERVAL_MS, this::repeatReport);
    timers.schedule(MIN_TOTAL_INTERVAL_MS, this::aggregate);
    timers.schedule(MIN_REPORT_INTERVAL_MS, this::introduceToListed);
  }

  /** Tells nothing more. */
  public void close() {
    closed = true;
  }

  /** Something was opened, or ended, or is being answered: the zone hears of it soon. */
  public void onLoadChanged() {
    totalChanged = true;
    markActive();
    if (reportScheduled || closed) {
      return;
    }
    reportScheduled = true;
    timers.schedule(
        Math.max(0, lastReportAt + MIN_REPORT_INTERVAL_MS - timers.now()), this::report);
  }

  /** A report came; one of this gateway itself, or with no sender, is passed over. */
  public void heard(LoadReport report) {
    if (closed || report.sender.isEmpty() || report.sender.equals(ownAddress)) {
      return;
    }
    boolean isNewInstance = members.onReport(report.sender, report.zone, report.instanceId);
    table.onReport(report);
    if (!report.servers.isEmpty()) {
      markActive();
    }
    if (report.scope == LoadReport.TOTAL) {
      members.onTotal(report.sender);
    }
    totalChanged = true;
    if (isNewInstance) {
      introduceTo(report.sender);
    }
  }

  @Override
  public boolean isAvailable() {
    return aggregating ? hasZonePeers : table.hasRecentTotal();
  }

  @Override
  public ServerLoad loadOf(String serverId) {
    return aggregating ? total.getOrDefault(serverId, ServerLoad.NONE) : table.totalOf(serverId);
  }

  private boolean isActive() {
    return timers.now() - lastActiveAt <= ACTIVITY_TIMEOUT_MS;
  }

  private void markActive() {
    if (!isActive()) {
      members.expectTotal();
    }
    lastActiveAt = timers.now();
  }

  private void report() {
    reportScheduled = false;
    if (closed) {
      return;
    }
    lastReportAt = timers.now();
    String aggregator = members.aggregator();
    if (!aggregator.equals(ownAddress)) {
      send.accept(aggregator, createReport(LoadReport.OWN, ownLoads.get()));
    }
  }

  private void repeatReport() {
    if (closed) {
      return;
    }
    timers.schedule(REPORT_REPEAT_INTERVAL_MS, this::repeatReport);
    if (isActive() && timers.now() - lastReportAt >= REPORT_REPEAT_INTERVAL_MS / 2) {
      report();
    }
  }

  private void aggregate() {
    if (closed) {
      return;
    }
    aggregating = isActive() && members.aggregator().equals(ownAddress);
    timers.schedule(
        aggregating ? MIN_TOTAL_INTERVAL_MS : AGGREGATOR_CHECK_INTERVAL_MS, this::aggregate);
    if (!aggregating) {
      return;
    }
    long now = timers.now();
    boolean zoneDue = now - lastZoneSumAt >= ZONE_SUM_INTERVAL_MS;
    boolean totalDue = totalChanged || now - lastTotalAt >= TOTAL_REPEAT_INTERVAL_MS;
    if (!zoneDue && !totalDue) {
      return;
    }
    Map<String, ServerLoad> sum = table.sumOfZonePeers();
    LoadTable.addLoads(sum, ownLoads.get());
    if (zoneDue) {
      lastZoneSumAt = now;
      sendToOtherZones(createReport(LoadReport.ZONE, sum));
    }
    if (totalDue) {
      lastTotalAt = now;
      totalChanged = false;
      LoadTable.addLoads(sum, table.sumOfOtherZones());
      total = sum;
      List<String> receivers = members.zonePeers();
      hasZonePeers = !receivers.isEmpty();
      sendAll(receivers, createReport(LoadReport.TOTAL, sum));
    }
  }

  private void sendToOtherZones(LoadReport report) {
    members
        .peersByOtherZone()
        .forEach(
            (name, gateways) ->
                sendAll(RendezvousHash.choose(name, gateways, RECEIVERS_PER_ZONE), report));
  }

  /** So that each gateway listed learns this one's zone, and tells its own. */
  private void introduceToListed() {
    if (closed) {
      return;
    }
    timers.schedule(UNKNOWN_PEER_INTRODUCTION_INTERVAL_MS, this::introduceToListed);
    List<String> listed = clusterState.view().gateways;
    members.expireUnlisted(listed);
    lastIntroducedAt.keySet().retainAll(listed);
    long now = timers.now();
    for (String gateway : listed) {
      boolean due =
          now - lastIntroducedAt.getOrDefault(gateway, Long.MIN_VALUE / 2)
              >= introductionIntervalMs(gateway);
      if (due && !gateway.equals(ownAddress)) {
        introduceTo(gateway);
      }
    }
  }

  private long introductionIntervalMs(String gateway) {
    String peerZone = members.zoneOf(gateway);
    if (!isActive()) {
      return OTHER_ZONE_INTRODUCTION_INTERVAL_MS;
    }
    if (peerZone == null) {
      return UNKNOWN_PEER_INTRODUCTION_INTERVAL_MS;
    }
    return peerZone.equals(zone)
        ? ZONE_PEER_INTRODUCTION_INTERVAL_MS
        : OTHER_ZONE_INTRODUCTION_INTERVAL_MS;
  }

  private void introduceTo(String gateway) {
    lastIntroducedAt.put(gateway, timers.now());
    send.accept(gateway, createReport(LoadReport.OWN, ownLoads.get()));
  }

  private void sendAll(List<String> gateways, LoadReport report) {
    for (String gateway : gateways) {
      send.accept(gateway, report);
    }
  }

  private LoadReport createReport(int scope, Map<String, ServerLoad> loads) {
    LoadReport report = new LoadReport();
    report.sender = ownAddress;
    report.instanceId = instanceId;
    report.sequence = ++sequence;
    report.zone = zone;
    report.scope = scope;
    loads.entrySet().stream()
        .filter(entry -> !entry.getValue().equals(ServerLoad.NONE))
        .sorted(Comparator.comparingInt(entry -> -entry.getValue().open()))
        .limit(MAX_SERVERS_PER_REPORT)
        .forEach(entry -> report.servers.add(entry.getValue().toEntry(entry.getKey())));
    return report;
  }
}
