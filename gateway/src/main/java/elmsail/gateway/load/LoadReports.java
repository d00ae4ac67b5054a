package elmsail.gateway.load;

import elmsail.rpc.messages.LoadReport;
import java.util.Comparator;
import java.util.Map;

/** Creates this gateway's load reports, numbered in sequence. Owned by the event loop. */
final class LoadReports {
  /**
   * The limit of servers in one report, so that a datagram stays small. Servers with the most open
   * requests and items are kept.
   */
  private static final int MAX_SERVERS_PER_REPORT = 64;

  private final String ownAddress;
  private final String zone;
  private final long instanceId;
  private long sequence;

  LoadReports(String ownAddress, String zone, long instanceId) {
    this.ownAddress = ownAddress;
    this.zone = zone;
    this.instanceId = instanceId;
  }

  /**
   * Creates the next report.
   *
   * @param scope {@link LoadReport#OWN}, {@link LoadReport#ZONE} or {@link LoadReport#TOTAL}
   * @param loads by server id
   */
  LoadReport create(int scope, Map<String, ServerLoad> loads) {
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
