package elmsail.batch.store;

import elmsail.batch.messages.ContentDigest;
import elmsail.batch.messages.JobRecord;
import elmsail.batch.messages.QuotaKey;
import elmsail.batch.messages.WaitingTokens;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The tokens that submission attempts have reserved at one store, and the attempts that were
 * withdrawn. Each call passes the current time, in ms of the process's monotonic clock. Confined to
 * the store's event loop.
 */
final class Reservations {
  /** Lifetime of a reservation whose job this store has not admitted, in ms. */
  private static final long TTL_MS = 5_000;

  /**
   * Lifetime of a reservation after its job was admitted, in ms. The record is being written during
   * this time; the lifetime is longer than {@link #TTL_MS} because disks may stall.
   */
  private static final long ADMITTED_TTL_MS = 30_000;

  private static final int MAX_RESERVATIONS = 4_096;
  private static final int MAX_WITHDRAWALS = 4_096;

  /**
   * A reservation whose job is not accepted yet.
   *
   * @param admitted whether the record of the job is being written; a withdrawal does not remove
   *     such a reservation
   */
  private record PendingReservation(
      WaitingTokens.Reservation reservation, long expiresAt, boolean admitted) {}

  /** One attempt to submit a job. */
  private record AttemptKey(String jobId, long attemptId) {
    static AttemptKey of(WaitingTokens.Reservation reservation) {
      return new AttemptKey(reservation.jobId(), reservation.attemptId());
    }
  }

  /** Keyed by job id, then by attempt id in the order of arrival. */
  private final Map<String, Map<Long, PendingReservation>> reservationsByJob = new HashMap<>();

  /**
   * The withdrawn attempts, each with the time until which its reservations are ignored. The
   * message with a reservation may arrive after the withdrawal of the same attempt.
   */
  private final Map<AttemptKey, Long> withdrawals = new LinkedHashMap<>();

  private int size;

  /** Whether this attempt was withdrawn before, so that its reservation must be ignored. */
  boolean isWithdrawn(WaitingTokens.Reservation reservation) {
    return withdrawals.containsKey(AttemptKey.of(reservation));
  }

  /**
   * Adds a reservation, or extends the existing reservation of the same attempt.
   *
   * @return false if the store has too many reservations
   */
  boolean add(WaitingTokens.Reservation reservation, long now) {
    Map<Long, PendingReservation> jobReservations = reservationsByJob.get(reservation.jobId());
    boolean known = jobReservations != null && jobReservations.containsKey(reservation.attemptId());
    if (size >= MAX_RESERVATIONS && !known) {
      return false;
    }
    if (jobReservations == null) {
      jobReservations = new LinkedHashMap<>();
      reservationsByJob.put(reservation.jobId(), jobReservations);
    }
    PendingReservation previous = jobReservations.remove(reservation.attemptId());
    boolean admitted = previous != null && previous.admitted();
    long expiresAt = now + (admitted ? ADMITTED_TTL_MS : TTL_MS);
    jobReservations.put(
        reservation.attemptId(), new PendingReservation(reservation, expiresAt, admitted));
    size += known ? 0 : 1;
    return true;
  }

  /** Removes the reservation of a rejected attempt, unless the job's record is being written. */
  void withdraw(WaitingTokens.Reservation reservation, long now) {
    if (withdrawals.size() < MAX_WITHDRAWALS) {
      withdrawals.put(AttemptKey.of(reservation), now + TTL_MS);
    }
    Map<Long, PendingReservation> jobReservations = reservationsByJob.get(reservation.jobId());
    if (jobReservations == null) {
      return;
    }
    PendingReservation existing = jobReservations.get(reservation.attemptId());
    if (existing != null && !existing.admitted()) {
      jobReservations.remove(reservation.attemptId());
      size--;
      if (jobReservations.isEmpty()) {
        reservationsByJob.remove(reservation.jobId());
      }
    }
  }

  /**
   * Whether this store has a reservation for the first record of a job, under the record's quota
   * key and with enough tokens. If so, extends the lifetime of the reservation to cover the write
   * of the record.
   */
  boolean admit(String jobId, JobRecord record, long now) {
    Map<Long, PendingReservation> jobReservations = reservationsByJob.get(jobId);
    if (jobReservations == null) {
      return false;
    }
    for (Map.Entry<Long, PendingReservation> entry : jobReservations.entrySet()) {
      WaitingTokens.Reservation reservation = entry.getValue().reservation();
      if (reservation.quotaKey().equals(record.quotaKey())
          && reservation.tokens() >= record.waitingTokens()) {
        entry.setValue(new PendingReservation(reservation, now + ADMITTED_TTL_MS, true));
        return true;
      }
    }
    return false;
  }

  /** Adds the reservations under this quota key to the waiting tokens of the key. */
  void addTo(WaitingTokens waitingTokens, QuotaKey key) {
    for (Map<Long, PendingReservation> jobReservations : reservationsByJob.values()) {
      for (PendingReservation pending : jobReservations.values()) {
        WaitingTokens.Reservation reservation = pending.reservation();
        if (reservation.quotaKey().equals(key)) {
          waitingTokens.put(
              ContentDigest.of(reservation.jobId()),
              WaitingTokens.RESERVED_VERSION,
              reservation.tokens());
        }
      }
    }
  }

  /** Whether any attempt to submit this job has a reservation. */
  boolean has(String jobId) {
    return reservationsByJob.containsKey(jobId);
  }

  /** Removes the reservations of all attempts for a job that was accepted or dropped. */
  void remove(String jobId) {
    Map<Long, PendingReservation> removed = reservationsByJob.remove(jobId);
    size -= removed == null ? 0 : removed.size();
  }

  /** Removes expired reservations and withdrawals. */
  void expire(long now) {
    // All withdrawals have the same lifetime, so they expire in the order of their insertion.
    Iterator<Long> oldest = withdrawals.values().iterator();
    while (oldest.hasNext() && oldest.next() <= now) {
      oldest.remove();
    }
    Iterator<Map<Long, PendingReservation>> jobs = reservationsByJob.values().iterator();
    while (jobs.hasNext()) {
      Map<Long, PendingReservation> jobReservations = jobs.next();
      int before = jobReservations.size();
      jobReservations.values().removeIf(pending -> pending.expiresAt() <= now);
      size -= before - jobReservations.size();
      if (jobReservations.isEmpty()) {
        jobs.remove();
      }
    }
  }
}
