package elmsail.batch.store;

import elmsail.batch.messages.AbandonedJob;
import elmsail.batch.messages.ContentDigest;
import elmsail.batch.messages.HeartbeatMessage;
import elmsail.batch.messages.JobRecord;
import elmsail.batch.messages.QuotaKey;
import elmsail.batch.messages.WaitingTokens;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The state of the jobs at one store, derived from the records that the store has accepted, from
 * reservations and from heartbeats. A state machine without I/O: each call passes the current time,
 * in ms of the process's monotonic clock. Confined to the store's event loop.
 */
final class JobStore {
  /**
   * How long a job without waiting tokens is still part of the counts after its last change, in ms.
   * The count of this store then contains an entry of 0 tokens for the job. When the counts of
   * several stores are merged, this entry replaces the older entry of a store that missed the
   * change.
   */
  private static final long CLOSED_JOB_COUNT_MS = 120_000;

  /** The state derived from the newest accepted record of a job. */
  private static final class JobState {
    final long digest;
    final long firstAcceptedAt;
    long version;
    QuotaKey quotaKey;
    long waitingTokens;
    boolean open;
    String runner = "";
    long term;
    long itemTtlMs;
    long changedAt;
    long lastHeartbeatAt;

    JobState(String jobId, long now) {
      this.digest = ContentDigest.of(jobId);
      this.firstAcceptedAt = now;
    }

    void apply(JobRecord record, long now) {
      version = record.version();
      quotaKey = record.quotaKey();
      waitingTokens = record.waitingTokens();
      open = record.isOpen();
      runner = record.runner();
      term = record.term();
      itemTtlMs = record.itemTtlMs();
      changedAt = now;
      lastHeartbeatAt = now;
    }

    /** The status to return in the response to a heartbeat for this lease. */
    int leaseStatus(String gateway, long leaseTerm) {
      if (term < leaseTerm) {
        return HeartbeatMessage.UNKNOWN;
      }
      boolean held = term == leaseTerm && runner.equals(gateway) && open;
      return held ? HeartbeatMessage.LEASE_HELD : HeartbeatMessage.LEASE_LOST;
    }

    boolean isCounted(QuotaKey key, long now) {
      return key.equals(quotaKey) && (waitingTokens > 0 || now - changedAt < CLOSED_JOB_COUNT_MS);
    }

    boolean isExpired(long retentionMs, long slackMs, long now) {
      long keptMs = (open ? Math.max(itemTtlMs, 0) : 0) + retentionMs + slackMs;
      return now - firstAcceptedAt > keptMs && (!open || now - lastHeartbeatAt > retentionMs);
    }
  }

  private final Map<String, JobState> jobs = new HashMap<>();
  private final Reservations reservations = new Reservations();

  private final UnacceptedJobs unacceptedJobs = new UnacceptedJobs();

  /**
   * Stores a reservation and returns the waiting tokens of its quota key. If the job has no record
   * here and another attempt may have proposed one, the count contains the job itself, see {@link
   * WaitingTokens#markUnresolved}.
   *
   * @return encoded {@link WaitingTokens}, or null if the store has too many reservations
   */
  byte[] reserve(WaitingTokens.Reservation reservation, long now) {
    reservations.expire(now);
    boolean unresolved = unacceptedJobs.mayBeProposedByOther(reservation);
    if (!jobs.containsKey(reservation.jobId()) && !reservations.isWithdrawn(reservation)) {
      if (!reservations.add(reservation, now)) {
        return null;
      }
      unacceptedJobs.onReserved(reservation, now);
    }
    WaitingTokens counted = count(reservation.quotaKey(), now);
    if (unresolved) {
      counted.markUnresolved(reservation.jobId());
    }
    return counted.encode();
  }

  private WaitingTokens count(QuotaKey key, long now) {
    WaitingTokens waitingTokens = new WaitingTokens();
    for (JobState state : jobs.values()) {
      if (state.isCounted(key, now)) {
        waitingTokens.put(state.digest, state.version, state.waitingTokens);
      }
    }
    reservations.addTo(waitingTokens, key);
    return waitingTokens;
  }

  /** Removes the reservation of a rejected attempt. */
  void withdraw(WaitingTokens.Reservation reservation, long now) {
    reservations.expire(now);
    reservations.withdraw(reservation, now);
    unacceptedJobs.onWithdrawn(reservation);
  }

  /**
   * Whether this store may accept the record. The first record of a job needs a reservation that is
   * part of this store's count. Later records need none, as they follow from a committed record.
   */
  boolean admits(String jobId, JobRecord record, long now) {
    reservations.expire(now);
    if (record.version() > 1 || jobs.containsKey(jobId)) {
      return true;
    }
    return reservations.admit(jobId, record, now);
  }

  /**
   * Applies a record that the store has accepted and written to disk. A record older than the known
   * record of the job is ignored.
   */
  void onAccepted(String jobId, JobRecord record, long now) {
    JobState state = jobs.get(jobId);
    if (state == null) {
      state = new JobState(jobId, now);
      jobs.put(jobId, state);
    } else if (record.version() < state.version) {
      return;
    }
    state.apply(record, now);
    reservations.remove(jobId);
    unacceptedJobs.remove(jobId);
  }

  /**
   * Applies that the store has accepted the absence of a job's record and written it to disk: a
   * record that the store accepted before was never committed and is void. Reservations remain, as
   * another submission of the job may have made them.
   */
  void onAbsenceAccepted(String jobId, long now) {
    jobs.remove(jobId);
    unacceptedJobs.onAbsenceAccepted(jobId, now);
  }

  /**
   * Registers a job with a promise but without a record. Such a job was left by an earlier process
   * or transferred from another store. It is dropped later, like a job that was reserved but never
   * accepted.
   */
  void onPromised(String jobId, long now) {
    unacceptedJobs.onPromised(jobId, now);
  }

  /** Removes all state of a job that the replica has dropped. */
  void onDropped(String jobId) {
    jobs.remove(jobId);
    reservations.remove(jobId);
    unacceptedJobs.remove(jobId);
  }

  /**
   * Renews the leases of a runner.
   *
   * @return one of the status constants of {@link HeartbeatMessage} for each lease, in the order of
   *     the message
   */
  int[] onHeartbeat(HeartbeatMessage heartbeat, long now) {
    int[] statuses = new int[heartbeat.leases().size()];
    for (int i = 0; i < statuses.length; i++) {
      HeartbeatMessage.JobLease lease = heartbeat.leases().get(i);
      JobState state = jobs.get(lease.jobId());
      statuses[i] =
          state == null
              ? HeartbeatMessage.UNKNOWN
              : state.leaseStatus(heartbeat.gateway(), lease.term());
      if (statuses[i] == HeartbeatMessage.LEASE_HELD) {
        state.lastHeartbeatAt = now;
      }
    }
    return statuses;
  }

  /** At most {@code maxCount} open jobs without a heartbeat for at least the timeout, in ms. */
  List<AbandonedJob> abandoned(long heartbeatTimeoutMs, int maxCount, long now) {
    List<AbandonedJob> abandoned = new ArrayList<>();
    for (Map.Entry<String, JobState> entry : jobs.entrySet()) {
      JobState state = entry.getValue();
      long sinceHeartbeatMs = now - state.lastHeartbeatAt;
      if (state.open && sinceHeartbeatMs >= heartbeatTimeoutMs && abandoned.size() < maxCount) {
        abandoned.add(new AbandonedJob(entry.getKey(), state.term, sinceHeartbeatMs));
      }
    }
    return abandoned;
  }

  /**
   * The ids of the jobs whose retention time is over. The caller drops them.
   *
   * @param retentionMs how long a closed job is kept after this store first accepted it, or the
   *     absence of a job after this store accepted that, in ms; an open job is kept longer by the
   *     time to live of its items, and in any case while its last heartbeat is at most {@code
   *     retentionMs} old
   * @param slackMs added to the retention time to allow for clock differences and late messages, in
   *     ms
   */
  List<String> expired(long retentionMs, long slackMs, long now) {
    reservations.expire(now);
    List<String> expired = new ArrayList<>();
    for (Map.Entry<String, JobState> entry : jobs.entrySet()) {
      if (entry.getValue().isExpired(retentionMs, slackMs, now)) {
        expired.add(entry.getKey());
      }
    }
    unacceptedJobs.forEachExpired(
        retentionMs + slackMs,
        now,
        jobId -> {
          if (!reservations.has(jobId)) {
            expired.add(jobId);
          }
        });
    return expired;
  }

  /** The number of jobs whose absence this store has accepted last. */
  int absences() {
    return unacceptedJobs.absences();
  }

  /** The number of jobs with an accepted record. */
  int size() {
    return jobs.size();
  }
}
