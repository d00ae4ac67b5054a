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
 * Counts the requests of clients that servers have started, with the first byte of their response,
 * and reports the counts about once a second to the control-plane node that holds the singleton
 * lease. While none is known to hold it, all voters get the reports, so that a new holder soon has
 * the counts of the last windows. What a gateway counted after its last report is lost if it is
 * killed: the requests of {@value #REPORT_INTERVAL_MS} ms at most, and of a call on its way. Runs
 * on the event loop.
 */
public final class UsageMeter implements UsageListener {
  private static final long REPORT_INTERVAL_MS = 1_000;
  private static final long CALL_TIMEOUT_MS = 1_000;

  /** Windows that may yet be reported: those closed for up to twice the time allowed for it. */
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

  /** The address of the node that said last that it holds the lease; null if none does. */
  private String holder;

  private boolean closed;

  /**
   * Reports nothing before {@link #start}.
   *
   * @param clusterClock by which windows begin and end
   * @param voters of the control plane as this process knows them
   * @param instanceId of this process, drawn at random at each start
   * @param bounds with the length of a window, above 0
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

  /** Whether these settings ask for reports of use. */
  public static boolean isWanted(Settings settings) {
    return settings.platform() != null
        && settings.platform().duties().contains(Settings.Platform.USAGE_DUTY)
        && settings.bounds().usageWindowMs() > 0;
  }

  /** Begins to report; repeats itself until closed. */
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

  /** Reports once more what is not acknowledged, and then no more. */
  public void close() {
    if (!closed) {
      report();
      closed = true;
    }
  }
}
