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
 * What one store knows of its jobs, derived from the records that it accepted, from reservations
 * and from heartbeats. A state machine without I/O: the time, in ms of the process's steady clock,
 * is given with each call. Confined to the store's event loop.
 */
final class JobStore {
  /**
   * How long jobs without waiting tokens are still counted, in ms, so that they overrule the counts
   * of stores that missed the change.
   */
  private static final long CLOSED_JOB_COUNT_MS = 120_000;

  /** How long the data of a job that was never accepted here is kept, in ms. */
  private static final long NEVER_ACCEPTED_TTL_MS = 60_000;

  /** What the newest accepted record of a job says. */
  private static final class JobState {
    final long digest;
    final long firstSeenAt;
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
      this.firstSeenAt = now;
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

    /** What a heartbeat for this lease is answered with. */
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
      return now - firstSeenAt > keptMs && (!open || now - lastHeartbeatAt > retentionMs);
    }
  }

  private final Map<String, JobState> jobs = new HashMap<>();
  private final Reservations reservations = new Reservations();

  /**
   * When a round for a job was last seen here that was never accepted: such a round leaves blobs
   * and a promise, which are dropped later.
   */
  private final Map<String, Long> neverAccepted = new HashMap<>();

  /**
   * Keeps a reservation and returns the count of its key.
   *
   * @return encoded {@link WaitingTokens}, or null if there are too many reservations
   */
  byte[] reserve(WaitingTokens.Reservation reservation, long now) {
    reservations.expire(now);
    if (!jobs.containsKey(reservation.jobId()) && !reservations.isWithdrawn(reservation)) {
      if (!reservations.add(reservation, now)) {
        return null;
      }
      neverAccepted.put(reservation.jobId(), now);
    }
    return count(reservation.quotaKey(), now).encode();
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
  }

  /**
   * Whether the record may be accepted here. The first record of a job needs a reservation that is
   * part of this store's count; later records follow from a committed one.
   */
  boolean admits(String jobId, JobRecord record, long now) {
    reservations.expire(now);
    if (record.version() > 1 || jobs.containsKey(jobId)) {
      return true;
    }
    return reservations.admit(jobId, record, now);
  }

  /** A record was accepted and is on disk; an older one than is known is ignored. */
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
    neverAccepted.remove(jobId);
  }

  /**
   * A job was found with a promise and without a record, left by an earlier process or transferred.
   * It is dropped later, like one that was reserved and never accepted.
   */
  void onPromised(String jobId, long now) {
    neverAccepted.putIfAbsent(jobId, now);
  }

  /** A job was dropped with all that is kept of it. */
  void onDropped(String jobId) {
    jobs.remove(jobId);
    reservations.remove(jobId);
    neverAccepted.remove(jobId);
  }

  /**
   * Renews the leases of a runner.
   *
   * @return for each lease, in the order of the message, one of the constants of {@link
   *     HeartbeatMessage}
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

  /** Open jobs without a heartbeat for so long, in ms; at most {@code maxCount}. */
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
   * The ids of the jobs that may not be read any more, which the caller drops.
   *
   * @param retentionMs how long a job may be read after its completion
   * @param slackMs added to that, for clocks and messages that are late
   */
  List<String> expired(long retentionMs, long slackMs, long now) {
    reservations.expire(now);
    List<String> expired = new ArrayList<>();
    for (Map.Entry<String, JobState> entry : jobs.entrySet()) {
      if (entry.getValue().isExpired(retentionMs, slackMs, now)) {
        expired.add(entry.getKey());
      }
    }
    for (Map.Entry<String, Long> entry : neverAccepted.entrySet()) {
      // Without a reservation its first record is not admitted, so the promise is not needed.
      if (now - entry.getValue() > NEVER_ACCEPTED_TTL_MS && !reservations.has(entry.getKey())) {
        expired.add(entry.getKey());
      }
    }
    return expired;
  }

  /** The number of jobs with an accepted record. */
  int size() {
    return jobs.size();
  }
}
