package elmsail.gateway.load;

import elmsail.config.ClusterState;
import elmsail.rpc.messages.LoadReport;
import elmsail.runtime.Timers;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Periodically sends a load report of this gateway to each listed gateway, so that the receivers
 * record the address and the zone of this gateway. A gateway that receives the first report of this
 * process replies with its own report. Owned by the event loop; all times in ms.
 */
final class PeriodicReportSender {
  private static final long FIRST_REPORT_DELAY_MS = 10;

  private static final long UNKNOWN_PEER_INTERVAL_MS = 500;
  private static final long ZONE_PEER_INTERVAL_MS = 3_000;

  /** For gateways of other zones, and for all gateways while there was no recent load activity. */
  private static final long OTHER_PEER_INTERVAL_MS = 8_000;

  private final Timers timers;
  private final ClusterState clusterState;
  private final ZoneMembers members;
  private final Supplier<LoadReport> ownReport;
  private final BiConsumer<String, LoadReport> send;
  private final BooleanSupplier hasRecentLoadActivity;
  private final Map<String, Long> lastSentAt = new HashMap<>();
  private boolean closed;

  /**
   * Sends nothing before {@link #start}.
   *
   * @param ownReport creates a report of this gateway's own load
   * @param send sends a report to an address; the report may be lost
   * @param hasRecentLoadActivity whether this gateway's load has changed recently, or a report with
   *     a load was received recently
   */
  PeriodicReportSender(
      Timers timers,
      ClusterState clusterState,
      ZoneMembers members,
      Supplier<LoadReport> ownReport,
      BiConsumer<String, LoadReport> send,
      BooleanSupplier hasRecentLoadActivity) {
    this.timers = timers;
    this.clusterState = clusterState;
    this.members = members;
    this.ownReport = ownReport;
    this.send = send;
    this.hasRecentLoadActivity = hasRecentLoadActivity;
  }

  void start() {
    timers.schedule(FIRST_REPORT_DELAY_MS, this::sendOwnReportToListed);
  }

  void close() {
    closed = true;
  }

  /** Sends this gateway's own report to another gateway. */
  void sendOwnReport(String gateway) {
    lastSentAt.put(gateway, timers.now());
    send.accept(gateway, ownReport.get());
  }

  private void sendOwnReportToListed() {
    if (closed) {
      return;
    }
    timers.schedule(UNKNOWN_PEER_INTERVAL_MS, this::sendOwnReportToListed);
    List<String> listed = clusterState.view().gateways;
    members.expireUnlisted(listed);
    lastSentAt.keySet().retainAll(listed);
    long now = timers.now();
    for (String gateway : listed) {
      boolean due =
          now - lastSentAt.getOrDefault(gateway, Long.MIN_VALUE / 2) >= intervalMs(gateway);
      if (due && !gateway.equals(members.ownAddress())) {
        sendOwnReport(gateway);
      }
    }
  }

  private long intervalMs(String gateway) {
    String peerZone = members.zoneOf(gateway);
    if (!hasRecentLoadActivity.getAsBoolean()) {
      return OTHER_PEER_INTERVAL_MS;
    }
    if (peerZone == null) {
      return UNKNOWN_PEER_INTERVAL_MS;
    }
    return peerZone.equals(members.ownZone()) ? ZONE_PEER_INTERVAL_MS : OTHER_PEER_INTERVAL_MS;
  }
}
