package elmsail.batch.run;

import elmsail.batch.client.BatchContext;
import elmsail.batch.client.BatchJobClient;
import elmsail.batch.messages.AbandonedJob;
import elmsail.batch.messages.BatchMessageTypes;
import elmsail.batch.messages.ByteWriter;
import elmsail.batch.messages.ContentDigest;
import elmsail.batch.messages.JobRecord;
import elmsail.rpc.messages.OpaqueMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Keeps the leases of this gateway's jobs, and takes over jobs whose runner sends no heartbeats any
 * more. A job is taken over once a majority of the stores reports it as abandoned. For each job the
 * gateways have another order (rendezvous hashing), in which they wait ever longer, so that mostly
 * one proposes to take it over; the register decides between several. Confined to the gateway's
 * event loop.
 */
public final class FailoverMonitor {
  private static final long SCAN_INTERVAL_MS = 700;
  private static final long RESPONSE_TIMEOUT_MS = 600;
  private static final long HEARTBEAT_TIMEOUT_MS = 2_000;

  /** How much longer each gateway of the job's order waits than the one before it. */
  private static final long RANK_DELAY_MS = 400;

  /** A store that alone lacks heartbeats of a job for so long has missed a change of the record. */
  private static final long STALE_STORE_MS = 6_000;

  private static final long CHANGE_TIMEOUT_MS = 1_500;
  private static final int MAX_CONCURRENT_TAKEOVERS = 8;

  private final BatchContext context;
  private final BatchJobClient jobClient;
  private final JobRunner runner;
  private final LeaseKeeper leaseKeeper;
  private final Set<String> takeoversInFlight = new HashSet<>();

  /** A monitor that does nothing before {@link #start}. */
  public FailoverMonitor(BatchContext context, BatchJobClient jobClient, JobRunner runner) {
    this.context = context;
    this.jobClient = jobClient;
    this.runner = runner;
    this.leaseKeeper = new LeaseKeeper(context, jobClient, runner);
  }

  /**
   * Starts the heartbeats and the scans, each after a random delay so that gateways do not act in
   * step.
   */
  public void start() {
    leaseKeeper.start();
    context.timers().schedule(context.jittered(SCAN_INTERVAL_MS), this::scanForAbandonedJobs);
  }

  private void scanForAbandonedJobs() {
    context.timers().schedule(context.jittered(SCAN_INTERVAL_MS), this::scanForAbandonedJobs);
    Map<String, List<AbandonedJob>> reportsByJob = new HashMap<>();
    OpaqueMessage request =
        BatchMessageTypes.message(
            BatchMessageTypes.ABANDONED,
            new ByteWriter().writeVarint(HEARTBEAT_TIMEOUT_MS).toByteArray());
    context.callEach(
        context.stores(),
        request,
        RESPONSE_TIMEOUT_MS,
        response -> {
          if (response.isPresent()) {
            for (AbandonedJob report : AbandonedJob.decode(response.message().bytes)) {
              reportsByJob.computeIfAbsent(report.jobId(), jobId -> new ArrayList<>()).add(report);
            }
          }
        },
        () -> reportsByJob.forEach(this::evaluate));
  }

  /**
   * The reports of the stores that this gateway acts on: those that are old enough for its rank.
   */
  private record OverdueReports(int count, long term, long sinceHeartbeatMs) {
    static OverdueReports of(List<AbandonedJob> reports, int rank) {
      long term = 0;
      long sinceHeartbeatMs = Long.MAX_VALUE;
      int count = 0;
      for (AbandonedJob report : reports) {
        term = Math.max(term, report.term());
        if (report.sinceHeartbeatMs() >= HEARTBEAT_TIMEOUT_MS + rank * RANK_DELAY_MS) {
          count++;
          sinceHeartbeatMs = Math.min(sinceHeartbeatMs, report.sinceHeartbeatMs());
        }
      }
      return new OverdueReports(count, term, sinceHeartbeatMs);
    }
  }

  private void evaluate(String jobId, List<AbandonedJob> reports) {
    int rank = rank(jobId);
    OverdueReports overdue = OverdueReports.of(reports, rank);
    if (takeoversInFlight.size() >= MAX_CONCURRENT_TAKEOVERS
        || takeoversInFlight.contains(jobId)
        || runner.isRunning(jobId)) {
      return;
    }
    if (overdue.count() >= context.majority()) {
      new Takeover(jobId, overdue).start();
    } else if (overdue.count() > 0
        && overdue.sinceHeartbeatMs() > STALE_STORE_MS + rank * SCAN_INTERVAL_MS) {
      rewriteRecord(jobId);
    }
  }

  /** How many gateways precede this one in the order of the job. */
  private int rank(String jobId) {
    long ownDigest = ContentDigest.of(context.localAddress() + "|" + jobId);
    int gatewaysAhead = 0;
    for (String gateway : context.clusterState().view().gateways) {
      if (!gateway.equals(context.localAddress())
          && ContentDigest.of(gateway + "|" + jobId) > ownDigest) {
        gatewaysAhead++;
      }
    }
    return gatewaysAhead;
  }

  /** One attempt to become the runner of an abandoned job. */
  private final class Takeover {
    private final String jobId;
    private final OverdueReports overdue;
    private final long startedAt = context.timers().now();
    private boolean proposed;

    Takeover(String jobId, OverdueReports overdue) {
      this.jobId = jobId;
      this.overdue = overdue;
    }

    void start() {
      takeoversInFlight.add(jobId);
      jobClient
          .change(jobId, this::propose, CHANGE_TIMEOUT_MS)
          .whenComplete((record, failure) -> onCompleted(record));
    }

    private JobRecord propose(JobRecord current) {
      if (current == null || !current.isOpen() || current.term() != overdue.term()) {
        return null;
      }
      proposed = true;
      return current.withRunner(
          context.localAddress(), current.ageMs() + overdue.sinceHeartbeatMs());
    }

    /**
     * @param committed null if the change failed or there is no such job
     */
    private void onCompleted(JobRecord committed) {
      takeoversInFlight.remove(jobId);
      if (proposed
          && committed != null
          && committed.term() == overdue.term() + 1
          && committed.runner().equals(context.localAddress())) {
        runner.adopt(jobId, committed, committed.ageMs(), startedAt);
      }
    }
  }

  /** Commits the record of a job once more, unchanged, for a store that missed it. */
  private void rewriteRecord(String jobId) {
    takeoversInFlight.add(jobId);
    jobClient
        .change(jobId, current -> current == null ? null : current.rewritten(), CHANGE_TIMEOUT_MS)
        .whenComplete((record, failure) -> takeoversInFlight.remove(jobId));
  }
}
