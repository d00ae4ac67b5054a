package elmsail.batch.run;

import elmsail.batch.client.BatchContext;
import elmsail.batch.client.BatchJobClient;
import elmsail.batch.messages.BatchMessageTypes;
import elmsail.batch.messages.ByteReader;
import elmsail.batch.messages.HeartbeatMessage;
import elmsail.rpc.messages.OpaqueMessage;
import java.util.ArrayList;
import java.util.List;

/**
 * Keeps the leases of the jobs that this gateway runs by sending heartbeats to all stores. If a
 * majority of the stores confirms the lease of a job, this gateway held the lease when it sent the
 * heartbeat. If no majority confirms the lease, or a store reports that the lease is lost, the
 * record of the job is read. Confined to the gateway's event loop.
 */
final class LeaseKeeper {
  private static final long HEARTBEAT_INTERVAL_MS = 500;
  private static final long RESPONSE_TIMEOUT_MS = 600;

  /** The time without a confirmation of the lease after which the record is read. */
  private static final long UNCONFIRMED_MS = 2 * HEARTBEAT_INTERVAL_MS;

  /** The number of jobs in one heartbeat; the leases of further jobs are confirmed by reads. */
  private static final int MAX_HEARTBEAT_JOBS = 1_000;

  private final BatchContext context;
  private final BatchJobClient jobClient;
  private final JobRunner runner;

  LeaseKeeper(BatchContext context, BatchJobClient jobClient, JobRunner runner) {
    this.context = context;
    this.jobClient = jobClient;
    this.runner = runner;
  }

  /** Starts the heartbeats after a random delay, so that the gateways are not synchronized. */
  void start() {
    context.timers().schedule(context.jittered(HEARTBEAT_INTERVAL_MS), this::sendHeartbeat);
  }

  /** One heartbeat in flight; counts the confirmations of each job. */
  private final class Renewal {
    private final List<RunningJob> jobs;
    private final int[] confirmations;
    private final int majority = context.majority();
    private final long sentAt = context.timers().now();

    Renewal(List<RunningJob> jobs) {
      this.jobs = jobs;
      this.confirmations = new int[jobs.size()];
    }

    OpaqueMessage request() {
      List<HeartbeatMessage.JobLease> leases = new ArrayList<>(jobs.size());
      for (RunningJob job : jobs) {
        leases.add(new HeartbeatMessage.JobLease(job.id, job.term));
      }
      HeartbeatMessage heartbeat = new HeartbeatMessage(context.localAddress(), leases);
      return BatchMessageTypes.message(BatchMessageTypes.HEARTBEAT, heartbeat.encode());
    }

    void onResponse(BatchContext.StoreResponse response) {
      if (!response.isPresent()) {
        return;
      }
      ByteReader statuses = new ByteReader(response.message().bytes);
      for (int i = 0; i < confirmations.length && statuses.hasRemaining(); i++) {
        onStatus(i, statuses.readVarint());
      }
    }

    private void onStatus(int index, long status) {
      RunningJob job = jobs.get(index);
      if (status == HeartbeatMessage.LEASE_HELD) {
        confirmations[index]++;
        if (confirmations[index] == majority) {
          job.confirmLease(sentAt);
        }
      } else if (status == HeartbeatMessage.LEASE_LOST) {
        confirmByRead(job);
      }
    }
  }

  private void sendHeartbeat() {
    context.timers().schedule(HEARTBEAT_INTERVAL_MS, this::sendHeartbeat);
    List<RunningJob> jobs = runner.jobsByDueTime();
    if (jobs.isEmpty()) {
      return;
    }
    Renewal renewal =
        new Renewal(jobs.size() > MAX_HEARTBEAT_JOBS ? jobs.subList(0, MAX_HEARTBEAT_JOBS) : jobs);
    context.callEach(
        context.stores(), renewal.request(), RESPONSE_TIMEOUT_MS, renewal::onResponse, () -> {});
    for (RunningJob job : jobs) {
      runner.cancelUnansweredRuns(job);
      if (renewal.sentAt - job.leaseConfirmedAt > UNCONFIRMED_MS) {
        confirmByRead(job);
      }
    }
  }

  private void confirmByRead(RunningJob job) {
    if (job.confirmingLeaseByRead || job.stopped) {
      return;
    }
    job.confirmingLeaseByRead = true;
    long startedAt = context.timers().now();
    jobClient
        .read(job.id, RESPONSE_TIMEOUT_MS)
        .whenComplete(
            (record, failure) -> {
              job.confirmingLeaseByRead = false;
              if (failure == null && !job.stopped) {
                runner.onRecordRead(job.id, record, startedAt);
              }
            });
  }
}
