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
 * The tokens that attempts to submit a job have reserved at one store, and the attempts that were
 * withdrawn. The time, in ms of the process's steady clock, is given with each call. Confined to
 * the store's event loop.
 */
final class Reservations {
  /** How long a reservation stands whose job is not accepted here, in ms. */
  private static final long TTL_MS = 5_000;

  /** How long it stands once its job has been admitted and is being written, in ms: disks stall. */
  private static final long ADMITTED_TTL_MS = 30_000;

  private static final int MAX_RESERVATIONS = 4_096;
  private static final int MAX_WITHDRAWALS = 4_096;

  /**
   * A reservation until its job is accepted.
   *
   * @param admitted whether its job is being written; then only its expiry removes it
   */
  private record PendingReservation(
      WaitingTokens.Reservation reservation, long expiresAt, boolean admitted) {}

  /** One attempt to submit a job. */
  private record AttemptKey(String jobId, long attemptId) {
    static AttemptKey of(WaitingTokens.Reservation reservation) {
      return new AttemptKey(reservation.jobId(), reservation.attemptId());
    }
  }

  /** By the id of the job, then by the id of the attempt, in the order of their arrival. */
  private final Map<String, Map<Long, PendingReservation>> reservationsByJob = new HashMap<>();

  /**
   * Until when the reservations of withdrawn attempts are ignored: a first round may arrive after
   * its withdrawal.
   */
  private final Map<AttemptKey, Long> withdrawals = new LinkedHashMap<>();

  private int size;

  /** Whether a reservation of this attempt is to be ignored, since it was withdrawn before. */
  boolean isWithdrawn(WaitingTokens.Reservation reservation) {
    return withdrawals.containsKey(AttemptKey.of(reservation));
  }

  /**
   * Adds a reservation or extends the one of the same attempt.
   *
   * @return false if there are too many reservations
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

  /** Removes the reservation of a rejected attempt, unless its job is being written. */
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
   * Whether the first record of a job has a reservation under its key and of enough tokens here. If
   * it has, the reservation stands until the record is written.
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

  /** Adds the reservations under one key to its count. */
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

  /** Whether any attempt has a reservation for this job. */
  boolean has(String jobId) {
    return reservationsByJob.containsKey(jobId);
  }

  /** Removes the reservations of all attempts for a job: it was accepted or dropped. */
  void remove(String jobId) {
    Map<Long, PendingReservation> removed = reservationsByJob.remove(jobId);
    size -= removed == null ? 0 : removed.size();
  }

  /** Removes what has expired. */
  void expire(long now) {
    // Withdrawals stand equally long, so they expire in the order in which they were added.
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
