package elmsail.batch.run;

import elmsail.batch.client.BatchContext;
import elmsail.batch.client.BatchJobClient;
import elmsail.batch.messages.AbandonedJob;
import elmsail.batch.messages.BatchMessageTypes;
import elmsail.batch.messages.ByteReader;
import elmsail.batch.messages.ByteWriter;
import elmsail.batch.messages.ContentDigest;
import elmsail.batch.messages.HeartbeatMessage;
import elmsail.batch.messages.JobRecord;
import elmsail.consensus.Register;
import elmsail.rpc.messages.OpaqueMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tells the stores what this gateway runs, by which it knows that the jobs are still its own, and
 * takes over jobs whose runner sends no heartbeats any more.
 */
public final class FailoverMonitor {
  private static final long HEARTBEAT_INTERVAL_MS = 500;
  private static final long SCAN_INTERVAL_MS = 700;
  private static final long RESPONSE_TIMEOUT_MS = 600;
  private static final long HEARTBEAT_TIMEOUT_MS = 2_000;
  private static final long RANK_DELAY_MS = 400;

  /** A store alone in having had no heartbeat of a job for so long has missed a change of it. */
  private static final long STALE_STORE_MS = 6_000;

  private static final long CHANGE_TIMEOUT_MS = 1_500;
  private static final int MAX_CONCURRENT_TAKEOVERS = 8;

  /** Jobs of one heartbeat; the rest are confirmed by reads. */
  private static final int MAX_HEARTBEAT_JOBS = 1_000;

  private final BatchContext context;
  private final BatchJobClient jobClient;
  private final JobRunner runner;
  private final Set<String> takeoversInFlight = new HashSet<>();

  /** A monitor that does nothing before {@link #start}. */
  public FailoverMonitor(BatchContext context, BatchJobClient jobClient, JobRunner runner) {
    this.context = context;
    this.jobClient = jobClient;
    this.runner = runner;
  }

  /**
   * Begins both rounds, each after a time drawn about its period, so that gateways do not go in
   * step.
   */
  public void start() {
    context.timers().schedule(context.jittered(HEARTBEAT_INTERVAL_MS), this::sendHeartbeat);
    context.timers().schedule(context.jittered(SCAN_INTERVAL_MS), this::scanForAbandonedJobs);
  }

  private void sendHeartbeat() {
    context.timers().schedule(HEARTBEAT_INTERVAL_MS, this::sendHeartbeat);
    List<RunningJob> jobs = runner.jobsByDueTime();
    if (jobs.isEmpty()) {
      return;
    }
    long sentAt = context.timers().now();
    List<RunningJob> reportedJobs =
        jobs.size() > MAX_HEARTBEAT_JOBS ? jobs.subList(0, MAX_HEARTBEAT_JOBS) : jobs;
    List<HeartbeatMessage.JobLease> leases = new ArrayList<>(reportedJobs.size());
    for (RunningJob job : reportedJobs) {
      leases.add(new HeartbeatMessage.JobLease(job.id, job.term));
    }
    int[] yours = new int[reportedJobs.size()];
    int majority = context.majority();
    OpaqueMessage heartbeat =
        BatchMessageTypes.message(
            BatchMessageTypes.HEARTBEAT,
            new HeartbeatMessage(context.localAddress(), leases).encode());
    context.callStores(
        heartbeat,
        RESPONSE_TIMEOUT_MS,
        (store, response) -> {
          if (response != null) {
            ByteReader reader = new ByteReader(response.bytes);
            for (int i = 0; i < yours.length && reader.hasRemaining(); i++) {
              long status = reader.readVarint();
              RunningJob job = reportedJobs.get(i);
              if (status == HeartbeatMessage.LEASE_HELD && ++yours[i] == majority) {
                job.confirm(sentAt);
              } else if (status == HeartbeatMessage.LEASE_LOST) {
                confirmByRead(job);
              }
            }
          }
        });
    for (RunningJob job : jobs) {
      runner.cancelUnansweredRuns(job);
      if (sentAt - job.confirmedAt > 2 * HEARTBEAT_INTERVAL_MS) {
        confirmByRead(job);
      }
    }
  }

  private void confirmByRead(RunningJob job) {
    if (job.confirmingRead || job.stopped) {
      return;
    }
    job.confirmingRead = true;
    long startedAt = context.timers().now();
    jobClient
        .read(job.id, RESPONSE_TIMEOUT_MS)
        .whenComplete(
            (record, failure) -> {
              job.confirmingRead = false;
              if (failure == null && !job.stopped) {
                runner.onRecordRead(job.id, record, startedAt);
              }
            });
  }

  private void scanForAbandonedJobs() {
    context.timers().schedule(context.jittered(SCAN_INTERVAL_MS), this::scanForAbandonedJobs);
    int storeCount = context.stores().size();
    if (storeCount == 0) {
      return;
    }
    Map<String, List<AbandonedJob>> reportsByJob = new HashMap<>();
    int[] answers = new int[1];
    OpaqueMessage request =
        BatchMessageTypes.message(
            BatchMessageTypes.ABANDONED,
            new ByteWriter().writeVarint(HEARTBEAT_TIMEOUT_MS).toByteArray());
    context.callStores(
        request,
        RESPONSE_TIMEOUT_MS,
        (store, response) -> {
          if (response != null) {
            for (AbandonedJob report : AbandonedJob.decode(response.bytes)) {
              reportsByJob.computeIfAbsent(report.jobId(), jobId -> new ArrayList<>()).add(report);
            }
          }
          if (++answers[0] == storeCount) {
            reportsByJob.forEach(this::evaluate);
          }
        });
  }

  private void evaluate(String jobId, List<AbandonedJob> reports) {
    int rank = rank(jobId);
    long sinceHeartbeatMs = Long.MAX_VALUE;
    long term = 0;
    int overdueReports = 0;
    for (AbandonedJob report : reports) {
      term = Math.max(term, report.term());
      if (report.sinceHeartbeatMs() >= HEARTBEAT_TIMEOUT_MS + rank * RANK_DELAY_MS) {
        overdueReports++;
        sinceHeartbeatMs = Math.min(sinceHeartbeatMs, report.sinceHeartbeatMs());
      }
    }
    if (takeoversInFlight.size() >= MAX_CONCURRENT_TAKEOVERS
        || takeoversInFlight.contains(jobId)
        || runner.isRunning(jobId)) {
      return;
    }
    if (overdueReports >= context.majority()) {
      takeOver(jobId, term, sinceHeartbeatMs);
    } else if (overdueReports > 0 && sinceHeartbeatMs > STALE_STORE_MS + rank * SCAN_INTERVAL_MS) {
      rewriteRecord(jobId);
    }
  }

  /** How many gateways come before this one in the job's own order of gateways. */
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

  private void takeOver(String jobId, long term, long sinceHeartbeatMs) {
    takeoversInFlight.add(jobId);
    long startedAt = context.timers().now();
    boolean[] proposed = new boolean[1];
    context
        .register()
        .change(
            JobRecord.registerKey(jobId),
            found -> {
              JobRecord record = JobRecord.decodeNullable(found.value());
              if (record == null || !record.isOpen() || record.term() != term) {
                return new Register.ProposedValue(null, List.of());
              }
              proposed[0] = true;
              return new Register.ProposedValue(
                  record
                      .withRunner(context.localAddress(), record.ageMs() + sinceHeartbeatMs)
                      .encode(),
                  List.of());
            },
            List.of(),
            null,
            CHANGE_TIMEOUT_MS)
        .whenComplete(
            (result, failure) -> {
              takeoversInFlight.remove(jobId);
              JobRecord record =
                  failure == null ? jobClient.onCommitted(jobId, result.current()) : null;
              if (proposed[0]
                  && record != null
                  && record.term() == term + 1
                  && record.runner().equals(context.localAddress())) {
                runner.adopt(jobId, record, record.ageMs(), startedAt);
              }
            });
  }

  /** Writes a job's record once more, for a store that missed it. */
  private void rewriteRecord(String jobId) {
    takeoversInFlight.add(jobId);
    context
        .register()
        .change(
            JobRecord.registerKey(jobId),
            found -> {
              JobRecord record = JobRecord.decodeNullable(found.value());
              return record == null
                  ? new Register.ProposedValue(null, List.of())
                  : new Register.ProposedValue(record.rewritten().encode(), List.of());
            },
            List.of(),
            null,
            CHANGE_TIMEOUT_MS)
        .whenComplete(
            (result, failure) -> {
              takeoversInFlight.remove(jobId);
              if (failure == null) {
                jobClient.onCommitted(jobId, result.current());
              }
            });
  }
}
