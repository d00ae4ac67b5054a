package elmsail.gateway.usage;

import elmsail.config.watch.ClusterClock;
import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.UsageReport;
import elmsail.rpc.messages.UsageReportResponse;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.Settings;
import elmsail.runtime.Timers;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Counts the client requests that servers have started. A request is counted at the first byte of
 * its response. The counts are reported about once a second to the control-plane node that holds
 * the singleton lease. While no node is known to hold the lease, all voters receive the reports, so
 * that a new holder soon has the counts of the last windows. If the gateway is killed, the counts
 * since its last report are lost: at most those of {@value #REPORT_INTERVAL_MS} ms, and those of a
 * call in flight. Runs on the event loop.
 */
public final class UsageMeter implements UsageListener {
  private static final long REPORT_INTERVAL_MS = 1_000;
  private static final long CALL_TIMEOUT_MS = 1_000;

  /**
   * The counts of a window are kept and reported for about this number of late periods after the
   * window ends. A late period is the time in which the control plane accepts reports of a closed
   * window ({@code usageLateMs}).
   */
  private static final int LATE_PERIODS_KEPT = 2;

  private final RpcClient rpcClient;
  private final Timers timers;
  private final ClusterClock clusterClock;
  private final Supplier<VoterSet> voters;
  private final long instanceId;
  private final long windowMs;
  private final int maxWindows;
  private final UsageCounter counter;
  private final Map<String, ReportedCounts> reportedByAddress = new HashMap<>();
  private final Set<String> callsInFlight = new HashSet<>();

  /**
   * The address of the node that last reported that it holds the lease; null if no holder is known.
   */
  private String holder;

  private boolean closed;

  /**
   * Reports nothing before {@link #start}.
   *
   * @param clusterClock the clock that determines the current window
   * @param voters supplies the control-plane voters that this process knows
   * @param instanceId the id of this process, which is chosen at random at each start
   * @param bounds the bounds with the length of a window, which is above 0
   */
  public UsageMeter(
      RpcClient rpcClient,
      Timers timers,
      ClusterClock clusterClock,
      Supplier<VoterSet> voters,
      long instanceId,
      Settings.Bounds bounds) {
    this.rpcClient = rpcClient;
    this.timers = timers;
    this.clusterClock = clusterClock;
    this.voters = voters;
    this.instanceId = instanceId;
    windowMs = bounds.usageWindowMs();
    maxWindows = (int) (LATE_PERIODS_KEPT * bounds.usageLateMs() / windowMs) + 2;
    counter = new UsageCounter(maxWindows);
  }

  /** Whether these settings require usage reports. */
  public static boolean isWanted(Settings settings) {
    return settings.platform() != null
        && settings.platform().duties().contains(Settings.Platform.USAGE_DUTY)
        && settings.bounds().usageWindowMs() > 0;
  }

  /**
   * Sends a report now and then periodically until the meter is closed. The timer of the next
   * report calls this method again.
   */
  public void start() {
    if (!closed) {
      timers.schedule(REPORT_INTERVAL_MS, this::start);
      report();
    }
  }

  @Override
  public void onRequestStarted(String tenant) {
    if (clusterClock.hasTime()) {
      counter.count(currentWindow(), tenant);
    }
  }

  private long currentWindow() {
    return Math.floorDiv(clusterClock.now(), windowMs);
  }

  private void report() {
    if (!clusterClock.hasTime()) {
      return;
    }
    counter.dropBefore(currentWindow() - maxWindows + 1);
    if (counter.windows().isEmpty()) {
      return;
    }
    Set<String> addresses = voterAddresses();
    reportedByAddress.keySet().retainAll(addresses);
    if (holder != null && addresses.contains(holder)) {
      reportTo(holder);
    } else {
      addresses.forEach(this::reportTo);
    }
  }

  private Set<String> voterAddresses() {
    Set<String> addresses = new LinkedHashSet<>();
    for (Voter voter : voters.get().voters) {
      if (!voter.address.isEmpty()) {
        addresses.add(voter.address);
      }
    }
    return addresses;
  }

  private void reportTo(String address) {
    if (!callsInFlight.add(address)) {
      return;
    }
    ReportedCounts reported =
        reportedByAddress.computeIfAbsent(address, first -> new ReportedCounts());
    UsageReport report = reported.newReport(instanceId, counter.windows());
    rpcClient
        .call(address, report, UsageReportResponse.class, CALL_TIMEOUT_MS)
        .whenComplete(
            (response, failure) -> {
              callsInFlight.remove(address);
              if (failure == null) {
                reported.onAcknowledged(report, response.processId);
              }
              onLeaseStatus(address, failure == null && response.holdsLease);
            });
  }

  private void onLeaseStatus(String address, boolean holdsLease) {
    if (holdsLease) {
      holder = address;
    } else if (address.equals(holder)) {
      holder = null;
      if (!closed) {
        report();
      }
    }
  }

  /** Sends a final report of the unacknowledged counts, and stops reporting. */
  public void close() {
    if (!closed) {
      report();
      closed = true;
    }
  }
}
