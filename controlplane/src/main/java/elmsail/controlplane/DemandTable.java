package elmsail.controlplane;

import elmsail.config.watch.PeerRole;
import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.ServiceDemand;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * What the gateways that pull from this control-plane node have open at the servers, by their last
 * pulls. A gateway pulls from a few of the nodes only, so the demand of all is estimated from those
 * that are known here. Times are in ms of the steady clock. Runs on the event loop.
 */
final class DemandTable {
  /** A gateway whose last pull is older has stopped, or is cut off. */
  static final long MAX_AGE_MS = 3_000;

  /** With fewer of the gateways known here, the estimate is not to be believed. */
  private static final double MIN_KNOWN_SHARE = 0.25;

  private record Report(List<ServiceDemand> demand, long receivedAtMs) {}

  private final Map<String, Report> reportsByGateway = new HashMap<>();

  /** Takes the demand of a gateway's pull; it replaces what its last pull said. */
  void onPull(PullRequest request, long now) {
    if (PeerRole.GATEWAY.isRoleOf(request)) {
      reportsByGateway.put(request.address, new Report(request.demand, now));
    }
  }

  /** Drops the gateways that have not pulled lately. */
  void expire(long now) {
    for (Iterator<Report> all = reportsByGateway.values().iterator(); all.hasNext(); ) {
      if (now - all.next().receivedAtMs() > MAX_AGE_MS) {
        all.remove();
      }
    }
  }

  /**
   * The estimate of what all gateways have open, from those that pulled since {@link #expire}.
   *
   * @param gatewayCount how many gateways there are
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

  /** Whether enough gateways have pulled lately for an estimate. */
  boolean isComplete(int gatewayCount) {
    return !reportsByGateway.isEmpty() && reportsByGateway.size() >= gatewayCount * MIN_KNOWN_SHARE;
  }
}
