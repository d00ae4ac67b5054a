package elmsail.batch.store;

import elmsail.batch.messages.AbandonedJob;
import elmsail.batch.messages.ContentDigest;
import elmsail.batch.messages.HeartbeatMessage;
import elmsail.batch.messages.JobRecord;
import elmsail.batch.messages.WaitingTokens;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What one store knows of its jobs, folded from the records it took and the heartbeats; the time is
 * given with each event.
 */
final class JobStore {
  /** Adds that are not followed by their job are forgotten after so long, in ms. */
  static final long RESERVATION_TTL_MS = 5_000;

  /**
   * Jobs that no longer wait are reported for so long, in ms, to overrule stores that missed it.
   */
  private static final long REPORT_CLOSED_MS = 120_000;

  /** Adds whose job is being written stay for so long, in ms: a disk may stall. */
  private static final long ADMITTED_RESERVATION_TTL_MS = 30_000;

  private static final long NEVER_ACCEPTED_TTL_MS = 60_000;
  private static final int MAX_RESERVATIONS = 4_096;

  /** The fold of one job's records. */
  private static final class JobState {
    final long digest;
    final long firstSeenAt;
    long version;
    String routeName = "";
    long waitingTokens;
    boolean open;
    String runner = "";
    long term;
    long itemTtlMs;
    long changedAt;
    long lastHeartbeatAt;

    JobState(long digest, long now) {
      this.digest = digest;
      this.firstSeenAt = now;
    }
  }

  /**
   * @param admitted whether its job is being written, so that only the time takes it off
   */
  private record PendingReservation(
      WaitingTokens.Reservation reservation, long expiresAt, boolean admitted) {}

  /** One try to submit a job. */
  private record AttemptKey(String jobId, long attemptId) {
    static AttemptKey of(WaitingTokens.Reservation reservation) {
      return new AttemptKey(reservation.jobId(), reservation.attemptId());
    }
  }

  private final Map<String, JobState> jobs = new HashMap<>();

  /** Adds of tries whose job is not taken yet, by try. */
  private final Map<AttemptKey, PendingReservation> reservations = new LinkedHashMap<>();

  /**
   * Until when adds of withdrawn tries are passed over, by {@link
   * WaitingTokens.Reservation#attemptId}: a first round may come late, behind its withdrawal.
   */
  private final Map<AttemptKey, Long> withdrawals = new LinkedHashMap<>();

  /**
   * When jobs that were never taken here were added last: what came with their first rounds is
   * litter.
   */
  private final Map<String, Long> neverAccepted = new HashMap<>();

  /** Keeps the add and answers the count of its route; null if there are too many adds. */
  byte[] reserve(WaitingTokens.Reservation reservation, long now) {
    expireReservations(now);
    if (!jobs.containsKey(reservation.jobId())
        && !withdrawals.containsKey(AttemptKey.of(reservation))) {
      if (reservations.size() >= MAX_RESERVATIONS
          && !reservations.containsKey(AttemptKey.of(reservation))) {
        return null;
      }
      PendingReservation previous = reservations.remove(AttemptKey.of(reservation));
      boolean admitted = previous != null && previous.admitted();
      reservations.put(
          AttemptKey.of(reservation),
          new PendingReservation(
              reservation,
              now + (admitted ? ADMITTED_RESERVATION_TTL_MS : RESERVATION_TTL_MS),
              admitted));
      neverAccepted.put(reservation.jobId(), now);
    }
    WaitingTokens waitingTokens = new WaitingTokens();
    for (JobState state : jobs.values()) {
      if (state.routeName.equals(reservation.routeName())
          && (state.waitingTokens > 0 || now - state.changedAt < REPORT_CLOSED_MS)) {
        waitingTokens.put(state.digest, state.version, state.waitingTokens);
      }
    }
    for (PendingReservation pending : reservations.values()) {
      if (pending.reservation().routeName().equals(reservation.routeName())) {
        waitingTokens.put(
            ContentDigest.of(pending.reservation().jobId()), 0, pending.reservation().tokens());
      }
    }
    return waitingTokens.encode();
  }

  void withdraw(WaitingTokens.Reservation reservation, long now) {
    expireReservations(now);
    if (withdrawals.size() < MAX_RESERVATIONS) {
      withdrawals.put(AttemptKey.of(reservation), now + RESERVATION_TTL_MS);
    }
    PendingReservation existing = reservations.get(AttemptKey.of(reservation));
    if (existing != null && !existing.admitted()) {
      reservations.remove(AttemptKey.of(reservation));
    }
  }

  /**
   * A job's first record needs its add to be on this count; later ones follow from a decided one.
   */
  boolean admits(String jobId, JobRecord record, long now) {
    expireReservations(now);
    if (record.version() > 1 || jobs.containsKey(jobId)) {
      return true;
    }
    for (PendingReservation pending : reservations.values()) {
      WaitingTokens.Reservation reservation = pending.reservation();
      if (reservation.jobId().equals(jobId)
          && reservation.routeName().equals(record.routeName())
          && reservation.tokens() >= record.waitingTokens()) {
        reservations.put(
            AttemptKey.of(reservation),
            new PendingReservation(reservation, now + ADMITTED_RESERVATION_TTL_MS, true));
        return true;
      }
    }
    return false;
  }

  void onAccepted(String jobId, JobRecord record, long now) {
    JobState state = jobs.get(jobId);
    if (state == null) {
      state = new JobState(ContentDigest.of(jobId), now);
      jobs.put(jobId, state);
    } else if (record.version() < state.version) {
      return;
    }
    state.version = record.version();
    state.routeName = record.routeName();
    state.waitingTokens = record.waitingTokens();
    state.open = record.isOpen();
    state.runner = record.runner();
    state.term = record.term();
    state.itemTtlMs = record.itemTtlMs();
    state.changedAt = now;
    state.lastHeartbeatAt = now;
    removeReservations(jobId);
    neverAccepted.remove(jobId);
  }

  /**
   * A job of which only a promise is there, left by the process before this one or copied: dropped
   * like one that was added and never taken.
   */
  void onPromised(String jobId, long now) {
    neverAccepted.putIfAbsent(jobId, now);
  }

  void onDropped(String jobId) {
    jobs.remove(jobId);
    removeReservations(jobId);
    neverAccepted.remove(jobId);
  }

  /** Hears a runner; the answers stand in the order of its jobs. */
  int[] onHeartbeat(HeartbeatMessage heartbeat, long now) {
    int[] answers = new int[heartbeat.leases().size()];
    for (int i = 0; i < answers.length; i++) {
      HeartbeatMessage.JobLease lease = heartbeat.leases().get(i);
      JobState state = jobs.get(lease.jobId());
      if (state == null || state.term < lease.term()) {
        answers[i] = HeartbeatMessage.UNKNOWN;
      } else if (state.term == lease.term()
          && state.runner.equals(heartbeat.gateway())
          && state.open) {
        state.lastHeartbeatAt = now;
        answers[i] = HeartbeatMessage.LEASE_HELD;
      } else {
        answers[i] = HeartbeatMessage.LEASE_LOST;
      }
    }
    return answers;
  }

  List<AbandonedJob> abandoned(long heartbeatTimeoutMs, int maxCount, long now) {
    List<AbandonedJob> abandoned = new ArrayList<>();
    for (Map.Entry<String, JobState> entry : jobs.entrySet()) {
      JobState state = entry.getValue();
      if (state.open
          && now - state.lastHeartbeatAt >= heartbeatTimeoutMs
          && abandoned.size() < maxCount) {
        abandoned.add(new AbandonedJob(entry.getKey(), state.term, now - state.lastHeartbeatAt));
      }
    }
    return abandoned;
  }

  /** Jobs that nobody needs any more: the caller drops them. */
  List<String> expired(long statusMs, long slackMs, long now) {
    expireReservations(now);
    List<String> expired = new ArrayList<>();
    for (Map.Entry<String, JobState> entry : jobs.entrySet()) {
      JobState state = entry.getValue();
      long keptMs = (state.open ? Math.max(state.itemTtlMs, 0) : 0) + statusMs + slackMs;
      if (now - state.firstSeenAt > keptMs
          && (!state.open || now - state.lastHeartbeatAt > statusMs)) {
        expired.add(entry.getKey());
      }
    }
    for (Map.Entry<String, Long> entry : neverAccepted.entrySet()) {
      // Without its add a first record is not admitted, so no promise is needed against it.
      if (now - entry.getValue() > NEVER_ACCEPTED_TTL_MS && !hasReservation(entry.getKey())) {
        expired.add(entry.getKey());
      }
    }
    return expired;
  }

  private void removeReservations(String jobId) {
    reservations.values().removeIf(pending -> pending.reservation().jobId().equals(jobId));
  }

  private boolean hasReservation(String jobId) {
    return reservations.values().stream()
        .anyMatch(pending -> pending.reservation().jobId().equals(jobId));
  }

  int size() {
    return jobs.size();
  }

  private void expireReservations(long now) {
    // In the order of their times: all stand for equally long.
    Iterator<Long> oldest = withdrawals.values().iterator();
    while (oldest.hasNext() && oldest.next() <= now) {
      oldest.remove();
    }
    Iterator<PendingReservation> each = reservations.values().iterator();
    while (each.hasNext()) {
      if (each.next().expiresAt() <= now) {
        each.remove();
      }
    }
  }
}
