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
  private static final long REPORT_MS = 10;

  /** Between two totals to the zone at the least. */
  private static final long TOTAL_MS = 25;

  /** How often a gateway looks whether it is to sum up; each look of an idle process costs. */
  private static final long LOOK_MS = 130;

  /** Without a change a report is repeated after so long, and a total too. */
  private static final long REPEAT_MS = 350;

  private static final long REPEAT_TOTAL_MS = 130;

  /** Between the sums from zone to zone. */
  private static final long ZONE_MS = 90;

  /** How often gateways hear that this one is there: those not heard, of the zone, and others. */
  private static final long INTRODUCE_UNHEARD_MS = 500;

  private static final long INTRODUCE_ZONE_MS = 3_000;
  private static final long INTRODUCE_OTHERS_MS = 8_000;

  /**
   * The sum of a zone goes to so many gateways of each other one: the first of them may be gone.
   */
  private static final int ZONE_RECEIVERS = 2;

  /** Where nothing was open anywhere for so long, nothing is told but that this one is there. */
  private static final long ACTIVE_MS = 2_000;

  /** Servers in one report: those with the most open. A datagram stays within a few packets. */
  private static final int MOST_SERVERS = 64;

  private final Timers timers;
  private final ClusterState known;
  private final String own;
  private final String zone;
  private final long instanceId;
  private final Supplier<Map<String, ServerLoad>> openHere;
  private final BiConsumer<String, LoadReport> send;
  private final ZoneMembers members;
  private final LoadTable table;
  private final Map<String, Long> introducedAt = new HashMap<>();
  private Map<String, ServerLoad> total = Map.of();
  private boolean aggregating;
  private boolean aggregatesOthers;
  private boolean totalChanged;
  private long totalAt = Long.MIN_VALUE / 2;
  private long zoneAt = Long.MIN_VALUE / 2;
  private long sequence;
  private long reportedAt = Long.MIN_VALUE / 2;
  private boolean reportSet;
  private long activeAt = Long.MIN_VALUE / 2;
  private boolean closed;

  /**
   * Tells nothing before {@link #start}.
   *
   * @param own this gateway's inner address
   * @param openHere what this gateway has open, by server id
   * @param send sends a report to an inner address; it may be lost
   */
  public LoadExchange(
      Timers timers,
      ClusterState known,
      String own,
      String zone,
      long instanceId,
      Supplier<Map<String, ServerLoad>> openHere,
      BiConsumer<String, LoadReport> send) {
    this.timers = timers;
    this.known = known;
    this.own = own;
    this.zone = zone;
    this.instanceId = instanceId;
    this.openHere = openHere;
    this.send = send;
    members = new ZoneMembers(own, zone, timers);
    table = new LoadTable(zone, timers);
  }

  /** Begins to tell. */
  public void start() {
    timers.schedule(REPEAT_MS, this::repeat);
    timers.schedule(TOTAL_MS, this::aggregate);
    timers.schedule(REPORT_MS, this::introduce);
  }

  /** Tells nothing more. */
  public void close() {
    closed = true;
  }

  /** Something was opened, or ended, or is being answered: the zone hears of it soon. */
  public void changed() {
    totalChanged = true;
    activate();
    if (reportSet || closed) {
      return;
    }
    reportSet = true;
    timers.schedule(Math.max(0, reportedAt + REPORT_MS - timers.now()), this::report);
  }

  /** A report came; one of this gateway itself, or with no sender, is passed over. */
  public void heard(LoadReport report) {
    if (closed || report.sender.isEmpty() || report.sender.equals(own)) {
      return;
    }
    boolean unknown = members.heard(report.sender, report.zone, report.instanceId);
    table.take(report);
    if (!report.servers.isEmpty()) {
      activate();
    }
    if (report.scope == LoadReport.TOTAL) {
      members.heardTotal(report.sender);
    }
    totalChanged = true;
    if (unknown) {
      introduceTo(report.sender);
    }
  }

  @Override
  public boolean heard() {
    return aggregating ? aggregatesOthers : table.toldLately();
  }

  @Override
  public ServerLoad at(String serverId) {
    return aggregating ? total.getOrDefault(serverId, ServerLoad.NONE) : table.told(serverId);
  }

  private boolean active() {
    return timers.now() - activeAt <= ACTIVE_MS;
  }

  private void activate() {
    if (!active()) {
      members.expectTotal();
    }
    activeAt = timers.now();
  }

  private void report() {
    reportSet = false;
    if (closed) {
      return;
    }
    reportedAt = timers.now();
    String aggregator = members.aggregator();
    if (!aggregator.equals(own)) {
      send.accept(aggregator, message(LoadReport.OWN, openHere.get()));
    }
  }

  private void repeat() {
    if (closed) {
      return;
    }
    timers.schedule(REPEAT_MS, this::repeat);
    if (active() && timers.now() - reportedAt >= REPEAT_MS / 2) {
      report();
    }
  }

  private void aggregate() {
    if (closed) {
      return;
    }
    aggregating = active() && members.aggregator().equals(own);
    timers.schedule(aggregating ? TOTAL_MS : LOOK_MS, this::aggregate);
    if (!aggregating) {
      return;
    }
    long now = timers.now();
    boolean zoneDue = now - zoneAt >= ZONE_MS;
    boolean totalDue = totalChanged || now - totalAt >= REPEAT_TOTAL_MS;
    if (!zoneDue && !totalDue) {
      return;
    }
    Map<String, ServerLoad> sum = table.zonePeers();
    LoadTable.merge(sum, openHere.get());
    if (zoneDue) {
      zoneAt = now;
      tellZones(message(LoadReport.ZONE, sum));
    }
    if (totalDue) {
      totalAt = now;
      totalChanged = false;
      LoadTable.merge(sum, table.otherZones());
      total = sum;
      List<String> receivers = members.ofZone();
      aggregatesOthers = !receivers.isEmpty();
      sendAll(receivers, message(LoadReport.TOTAL, sum));
    }
  }

  private void tellZones(LoadReport report) {
    members
        .ofOtherZones()
        .forEach(
            (name, gateways) ->
                sendAll(RendezvousHash.choose(name, gateways, ZONE_RECEIVERS), report));
  }

  /** So that each gateway listed learns this one's zone, and tells its own. */
  private void introduce() {
    if (closed) {
      return;
    }
    timers.schedule(INTRODUCE_UNHEARD_MS, this::introduce);
    List<String> listed = known.view().gateways;
    members.keep(listed);
    introducedAt.keySet().retainAll(listed);
    long now = timers.now();
    for (String gateway : listed) {
      boolean due =
          now - introducedAt.getOrDefault(gateway, Long.MIN_VALUE / 2) >= introduceEvery(gateway);
      if (due && !gateway.equals(own)) {
        introduceTo(gateway);
      }
    }
  }

  private long introduceEvery(String gateway) {
    String where = members.zoneOf(gateway);
    if (!active()) {
      return INTRODUCE_OTHERS_MS;
    }
    if (where == null) {
      return INTRODUCE_UNHEARD_MS;
    }
    return where.equals(zone) ? INTRODUCE_ZONE_MS : INTRODUCE_OTHERS_MS;
  }

  private void introduceTo(String gateway) {
    introducedAt.put(gateway, timers.now());
    send.accept(gateway, message(LoadReport.OWN, openHere.get()));
  }

  private void sendAll(List<String> gateways, LoadReport report) {
    for (String gateway : gateways) {
      send.accept(gateway, report);
    }
  }

  private LoadReport message(int scope, Map<String, ServerLoad> loads) {
    LoadReport report = new LoadReport();
    report.sender = own;
    report.instanceId = instanceId;
    report.sequence = ++sequence;
    report.zone = zone;
    report.scope = scope;
    loads.entrySet().stream()
        .filter(entry -> !entry.getValue().equals(ServerLoad.NONE))
        .sorted(Comparator.comparingInt(entry -> -entry.getValue().open()))
        .limit(MOST_SERVERS)
        .forEach(entry -> report.servers.add(entry.getValue().entry(entry.getKey())));
    return report;
  }
}
