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
 * Introduces this gateway and its zone to the other gateways by sending a report to each listed
 * gateway periodically. A gateway that did not know this gateway replies with a report of its own.
 * Owned by the event loop; all times in ms.
 */
final class PeriodicReportSender {
  private static final long FIRST_REPORT_DELAY_MS = 10;

  private static final long UNKNOWN_PEER_INTERVAL_MS = 500;
  private static final long ZONE_PEER_INTERVAL_MS = 3_000;

  /** For gateways of other zones, and for all gateways while no load was seen recently. */
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
   * @param hasRecentLoadActivity whether any load was seen recently
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
