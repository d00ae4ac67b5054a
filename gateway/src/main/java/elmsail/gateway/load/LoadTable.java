package elmsail.gateway.load;

import elmsail.rpc.messages.LoadReport;
import elmsail.rpc.messages.ServerLoadEntry;
import elmsail.runtime.MonotonicClock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The newest report of each gateway of the zone, of each other zone, and of the total. Pure but for
 * the clock. What is not repeated is forgotten.
 */
final class LoadTable {
  /** A report counts for so long; reports are repeated well within this. */
  static final long VALID_MS = 1_000;

  /** Bounds what a faulty peer can make this process remember. */
  private static final int MOST_SENDERS = 2_048;

  private static final int MOST_ENTRIES = 4_096;

  private record Report(long instanceId, long sequence, long at, List<ServerLoadEntry> entries) {}

  private final String zone;
  private final MonotonicClock clock;
  private final Map<String, Report> bySender = new HashMap<>();

  /** By the zone of the gateways that each is the sum of. */
  private final Map<String, Report> zones = new TreeMap<>();

  private Report total;
  private Map<String, ServerLoad> totalLoads = Map.of();

  /**
   * Makes an empty table.
   *
   * @param zone this gateway's
   */
  LoadTable(String zone, MonotonicClock clock) {
    this.zone = zone;
    this.clock = clock;
  }

  /** Takes a report unless a newer one of its sender and scope is known. */
  void take(LoadReport report) {
    if (report.servers.size() > MOST_ENTRIES) {
      return;
    }
    Report taken = new Report(report.instanceId, report.sequence, clock.now(), report.servers);
    boolean here = report.zone.equals(zone);
    if (report.scope == LoadReport.OWN && here) {
      put(bySender, report.sender, taken);
    } else if (report.scope == LoadReport.ZONE && !here) {
      put(zones, report.zone, taken);
    } else if (report.scope == LoadReport.TOTAL && here && !overtaken(total, taken)) {
      total = taken;
      totalLoads = new HashMap<>();
      add(totalLoads, taken.entries);
    }
  }

  private static void put(Map<String, Report> to, String key, Report taken) {
    if (!overtaken(to.get(key), taken) && (to.containsKey(key) || to.size() < MOST_SENDERS)) {
      to.put(key, taken);
    }
  }

  /** Datagrams may pass each other. */
  private static boolean overtaken(Report known, Report taken) {
    return known != null
        && known.instanceId == taken.instanceId
        && known.sequence >= taken.sequence;
  }

  /** Whether a total was told lately. */
  boolean toldLately() {
    return valid(total);
  }

  /** The total that was told last, or nothing where that is long ago. */
  ServerLoad told(String serverId) {
    return valid(total) ? totalLoads.getOrDefault(serverId, ServerLoad.NONE) : ServerLoad.NONE;
  }

  /** What the other gateways of this zone have open, as each told. */
  Map<String, ServerLoad> zonePeers() {
    return sum(bySender);
  }

  /** What the gateways of all other zones have open. */
  Map<String, ServerLoad> otherZones() {
    return sum(zones);
  }

  private Map<String, ServerLoad> sum(Map<String, Report> reports) {
    Map<String, ServerLoad> all = new HashMap<>();
    reports.values().removeIf(report -> !valid(report));
    reports.values().forEach(report -> add(all, report.entries));
    return all;
  }

  private boolean valid(Report report) {
    return report != null && clock.now() - report.at <= VALID_MS;
  }

  private static void add(Map<String, ServerLoad> to, List<ServerLoadEntry> more) {
    for (ServerLoadEntry entry : more) {
      to.merge(entry.server, ServerLoad.of(entry), ServerLoad::plus);
    }
  }

  static void merge(Map<String, ServerLoad> to, Map<String, ServerLoad> more) {
    more.forEach((server, load) -> to.merge(server, load, ServerLoad::plus));
  }
}
