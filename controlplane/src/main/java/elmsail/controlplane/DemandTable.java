package elmsail.controlplane;

import elmsail.config.watch.PeerRole;
import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.ServiceDemand;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * The open requests at the servers that each gateway reported in its last pull from this
 * control-plane node. A gateway pulls from only a few of the nodes, so the demand of all gateways
 * is estimated from the reports that this node has received. Times are in ms of the monotonic
 * clock. Runs on the event loop.
 */
final class DemandTable {
  /** A gateway whose last pull is older has stopped or is partitioned from this node. */
  static final long MAX_AGE_MS = 3_000;

  /** Below this share of gateways with a recent report, the estimate is unreliable. */
  private static final double MIN_KNOWN_SHARE = 0.25;

  private record Report(List<ServiceDemand> demand, long receivedAtMs) {}

  private final Map<String, Report> reportsByGateway = new HashMap<>();

  /** Records the demand in a gateway's pull; replaces the demand of its previous pull. */
  void onPull(PullRequest request, long now) {
    if (PeerRole.GATEWAY.isRoleOf(request)) {
      reportsByGateway.put(request.address, new Report(request.demand, now));
    }
  }

  /** Removes the gateways without a recent pull. */
  void expire(long now) {
    for (Iterator<Report> all = reportsByGateway.values().iterator(); all.hasNext(); ) {
      if (now - all.next().receivedAtMs() > MAX_AGE_MS) {
        all.remove();
      }
    }
  }

  /**
   * Estimates the open requests of all gateways from the reports that the last {@link #expire}
   * left.
   *
   * @param gatewayCount the number of gateways in the cluster
   */
  double openRequests(String service, String zone, int gatewayCount) {
    long knownOpenRequests = 0;
    for (Report report : reportsByGateway.values()) {
      for (ServiceDemand demand : report.demand()) {
        if (demand.service.equals(service) && demand.zone.equals(zone)) {
          knownOpenRequests += Math.max(0, demand.openRequests);
        }
      }
    }
    int reportingGateways = reportsByGateway.size();
    return reportingGateways == 0
        ? 0
        : knownOpenRequests
            * (double) Math.max(gatewayCount, reportingGateways)
            / reportingGateways;
  }

  /** Whether enough gateways have pulled recently for a reliable estimate. */
  boolean isComplete(int gatewayCount) {
    return !reportsByGateway.isEmpty() && reportsByGateway.size() >= gatewayCount * MIN_KNOWN_SHARE;
  }
}
