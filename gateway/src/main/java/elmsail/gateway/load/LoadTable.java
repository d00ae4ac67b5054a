package elmsail.gateway.load;

import elmsail.rpc.messages.LoadReport;
import elmsail.rpc.messages.ServerLoadEntry;
import elmsail.runtime.MonotonicClock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The latest load reports: of each gateway of this zone, of each other zone, and of the total.
 * Reports that are not repeated expire. Owned by the event loop; times in ms on the loop's clock.
 */
final class LoadTable {
  /** A report is valid for this time; its sender repeats it at much shorter intervals. */
  static final long VALID_MS = 1_000;

  /** Limits the memory that a faulty peer can make this process use. */
  private static final int MAX_SENDERS = 2_048;

  private static final int MAX_ENTRIES = 4_096;

  private record Report(
      long instanceId, long sequence, long receivedAt, List<ServerLoadEntry> entries) {}

  private final String zone;
  private final MonotonicClock clock;
  private final Map<String, Report> bySender = new HashMap<>();

  /** The sums of the other zones, by zone. */
  private final Map<String, Report> byOtherZone = new TreeMap<>();

  private Report total;
  private Map<String, ServerLoad> totalLoads = Map.of();

  /**
   * Creates an empty table.
   *
   * @param zone this gateway's zone
   */
  LoadTable(String zone, MonotonicClock clock) {
    this.zone = zone;
    this.clock = clock;
  }

  /** Stores a report unless a newer report of the same sender and scope was received. */
  void onReport(LoadReport report) {
    if (report.servers.size() > MAX_ENTRIES) {
      return;
    }
    Report received = new Report(report.instanceId, report.sequence, clock.now(), report.servers);
    boolean ofThisZone = report.zone.equals(zone);
    if (report.scope == LoadReport.OWN && ofThisZone) {
      put(bySender, report.sender, received);
    } else if (report.scope == LoadReport.ZONE && !ofThisZone) {
      put(byOtherZone, report.zone, received);
    } else if (report.scope == LoadReport.TOTAL && ofThisZone && !isStale(total, received)) {
      total = received;
      totalLoads = new HashMap<>();
      addEntries(totalLoads, received.entries);
    }
  }

  private static void put(Map<String, Report> to, String key, Report received) {
    if (!isStale(to.get(key), received) && (to.containsKey(key) || to.size() < MAX_SENDERS)) {
      to.put(key, received);
    }
  }

  /** Whether a received report is older than the current one, as datagrams may be reordered. */
  private static boolean isStale(Report current, Report received) {
    return current != null
        && current.instanceId == received.instanceId
        && current.sequence >= received.sequence;
  }

  /** Whether the last received total is still valid. */
  boolean hasRecentTotal() {
    return isValid(total);
  }

  /** The load of a server in the last received total; no load if that total has expired. */
  ServerLoad totalOf(String serverId) {
    return isValid(total) ? totalLoads.getOrDefault(serverId, ServerLoad.NONE) : ServerLoad.NONE;
  }

  /** The sum of the loads of the other gateways of this zone, in a new map. */
  Map<String, ServerLoad> sumOfZonePeers() {
    return sum(bySender);
  }

  /** The sum of the loads of all other zones, in a new map. */
  Map<String, ServerLoad> sumOfOtherZones() {
    return sum(byOtherZone);
  }

  private Map<String, ServerLoad> sum(Map<String, Report> reports) {
    Map<String, ServerLoad> all = new HashMap<>();
    reports.values().removeIf(report -> !isValid(report));
    reports.values().forEach(report -> addEntries(all, report.entries));
    return all;
  }

  private boolean isValid(Report report) {
    return report != null && clock.now() - report.receivedAt <= VALID_MS;
  }

  private static void addEntries(Map<String, ServerLoad> to, List<ServerLoadEntry> entries) {
    for (ServerLoadEntry entry : entries) {
      to.merge(entry.server, ServerLoad.of(entry), ServerLoad::plus);
    }
  }

  static void addLoads(Map<String, ServerLoad> to, Map<String, ServerLoad> loads) {
    loads.forEach((server, load) -> to.merge(server, load, ServerLoad::plus));
  }
}
