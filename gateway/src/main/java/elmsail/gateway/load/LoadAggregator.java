package elmsail.gateway.load;

import elmsail.config.watch.RendezvousHash;
import elmsail.rpc.messages.LoadReport;
import elmsail.runtime.Timers;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Sums up the loads of a zone while this gateway is the zone's aggregator. The aggregator sends the
 * sum of its zone to other zones, and the total of all zones to the gateways of its own zone. Idle
 * otherwise. Owned by the event loop; all times in ms on the loop's clock.
 */
final class LoadAggregator {
  private static final long MIN_TOTAL_INTERVAL_MS = 25;

  /** The interval between checks for the current aggregator; each check wakes an idle process. */
  private static final long AGGREGATOR_CHECK_INTERVAL_MS = 130;

  /** An unchanged total is repeated after this time, as datagrams may be lost. */
  private static final long TOTAL_REPEAT_INTERVAL_MS = 130;

  private static final long ZONE_SUM_INTERVAL_MS = 90;

  /** Number of gateways in each other zone that receive this zone's sum, as one may have failed. */
  private static final int RECEIVERS_PER_ZONE = 2;

  private final Timers timers;
  private final ZoneMembers members;
  private final LoadTable table;
  private final LoadReports reports;
  private final Supplier<Map<String, ServerLoad>> ownLoads;
  private final BiConsumer<String, LoadReport> send;
  private final BooleanSupplier hasRecentLoadActivity;
  private Map<String, ServerLoad> total = Map.of();
  private boolean isAggregating;
  private boolean hasZonePeers;
  private boolean totalChanged;
  private long lastTotalAt = Long.MIN_VALUE / 2;
  private long lastZoneSumAt = Long.MIN_VALUE / 2;
  private boolean closed;

  /**
   * Does nothing before {@link #start}.
   *
   * @param ownLoads this gateway's own load by server id
   * @param send sends a report to an address; the report may be lost
   * @param hasRecentLoadActivity whether this gateway's load has changed recently, or a report with
   *     a load was received recently; otherwise nothing is aggregated
   */
  LoadAggregator(
      Timers timers,
      ZoneMembers members,
      LoadTable table,
      LoadReports reports,
      Supplier<Map<String, ServerLoad>> ownLoads,
      BiConsumer<String, LoadReport> send,
      BooleanSupplier hasRecentLoadActivity) {
    this.timers = timers;
    this.members = members;
    this.table = table;
    this.reports = reports;
    this.ownLoads = ownLoads;
    this.send = send;
    this.hasRecentLoadActivity = hasRecentLoadActivity;
  }

  void start() {
    timers.schedule(MIN_TOTAL_INTERVAL_MS, this::aggregate);
  }

  void close() {
    closed = true;
  }

  /** Schedules a new total, as the load of this or of another gateway has changed. */
  void onLoadsChanged() {
    totalChanged = true;
  }

  /** Whether this gateway is its zone's aggregator, and so uses the total that it computed. */
  boolean isAggregating() {
    return isAggregating;
  }

  /** Whether other gateways of the zone were known when the total was last sent. */
  boolean hasZonePeers() {
    return hasZonePeers;
  }

  /** The load of a server in the last computed total; never null. */
  ServerLoad totalOf(String serverId) {
    return total.getOrDefault(serverId, ServerLoad.NONE);
  }

  private void aggregate() {
    if (closed) {
      return;
    }
    isAggregating = hasRecentLoadActivity.getAsBoolean() && members.isAggregator();
    timers.schedule(
        isAggregating ? MIN_TOTAL_INTERVAL_MS : AGGREGATOR_CHECK_INTERVAL_MS, this::aggregate);
    if (!isAggregating) {
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
      sendToOtherZones(reports.create(LoadReport.ZONE, sum));
    }
    if (totalDue) {
      lastTotalAt = now;
      totalChanged = false;
      LoadTable.addLoads(sum, table.sumOfOtherZones());
      total = sum;
      sendToZone(reports.create(LoadReport.TOTAL, sum));
    }
  }

  private void sendToZone(LoadReport report) {
    List<String> receivers = members.zonePeers();
    hasZonePeers = !receivers.isEmpty();
    sendAll(receivers, report);
  }

  private void sendToOtherZones(LoadReport report) {
    members
        .peersByOtherZone()
        .forEach(
            (zone, gateways) ->
                sendAll(RendezvousHash.choose(zone, gateways, RECEIVERS_PER_ZONE), report));
  }

  private void sendAll(List<String> gateways, LoadReport report) {
    for (String gateway : gateways) {
      send.accept(gateway, report);
    }
  }
}
