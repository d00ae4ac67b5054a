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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the leases of this gateway's jobs, and takes over jobs whose runner no longer sends
 * heartbeats. A job is taken over once a majority of the stores reports it as abandoned. Rendezvous
 * hashing ranks the gateways separately for each job, and a gateway that is ranked later waits
 * longer. Usually therefore only one gateway proposes to take over a job. If several do, the
 * register commits only one of the proposals. Confined to the gateway's event loop.
 */
public final class FailoverMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(FailoverMonitor.class);

  private static final long SCAN_INTERVAL_MS = 700;
  private static final long RESPONSE_TIMEOUT_MS = 600;
  private static final long HEARTBEAT_TIMEOUT_MS = 2_000;

  /** The additional time that a gateway waits per gateway that is ranked before it for the job. */
  private static final long RANK_DELAY_MS = 400;

  /**
   * If only a minority of the stores has received no heartbeat of a job for this time, these stores
   * are assumed to have missed a change of the record.
   */
  private static final long STALE_STORE_MS = 6_000;

  private static final long CHANGE_TIMEOUT_MS = 1_500;
  private static final int MAX_CONCURRENT_TAKEOVERS = 8;

  private final BatchContext context;
  private final BatchJobClient jobClient;
  private final JobRunner runner;
  private final LeaseKeeper leaseKeeper;
  private final Set<String> takeoversInFlight = new HashSet<>();

  /** Creates a monitor that is idle until {@link #start}. */
  public FailoverMonitor(BatchContext context, BatchJobClient jobClient, JobRunner runner) {
    this.context = context;
    this.jobClient = jobClient;
    this.runner = runner;
    this.leaseKeeper = new LeaseKeeper(context, jobClient, runner);
  }

  /**
   * Starts the heartbeats and the scans, each after a random delay so that the gateways are not
   * synchronized.
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
   * A summary of the stores' reports about one job.
   *
   * @param count the number of stores that have received no heartbeat for at least {@link
   *     #HEARTBEAT_TIMEOUT_MS} plus {@link #RANK_DELAY_MS} times this gateway's rank
   * @param term the highest term that any store reports
   * @param sinceHeartbeatMs the shortest time since a heartbeat among the counted stores
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

  /** The number of gateways that are ranked before this gateway for the job. */
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

  /** One attempt of this gateway to become the runner of an abandoned job. */
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
     * @param committed the committed record; null if the change failed or there is no such job
     */
    private void onCompleted(JobRecord committed) {
      takeoversInFlight.remove(jobId);
      if (proposed
          && committed != null
          && committed.term() == overdue.term() + 1
          && committed.runner().equals(context.localAddress())) {
        LOG.info("batch job taken over: job={} term={}", jobId, committed.term());
        runner.adopt(jobId, committed, committed.ageMs(), startedAt);
      }
    }
  }

  /**
   * Commits the record of a job again without changes, so that stores that missed it receive it. If
   * the job has none, its absence is committed, and the store that reports the job drops it.
   */
  private void rewriteRecord(String jobId) {
    takeoversInFlight.add(jobId);
    jobClient
        .change(jobId, current -> current == null ? null : current.rewritten(), CHANGE_TIMEOUT_MS)
        .whenComplete(
            (record, failure) -> {
              takeoversInFlight.remove(jobId);
              LOG.info(
                  "record of a batch job that few stores have was committed again: job={} result={}",
                  jobId,
                  failure != null ? "failed" : record == null ? "none" : "record");
            });
  }
}
