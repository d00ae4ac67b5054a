package elmsail.batch.store;

import elmsail.batch.messages.WaitingTokens;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The jobs without an accepted record at this store. Such a job leaves blobs and a promise at the
 * store, which are dropped later. For each job the store knows whether an attempt to submit it may
 * have proposed a record to other stores. Confined to the store's event loop.
 */
final class UnacceptedJobs {
  /** How long the data of a job is kept after the last request of a submission, in ms. */
  private static final long TTL_MS = 60_000;

  private static final class UnacceptedJob {
    /** The attempts that reserved tokens and have not been withdrawn. */
    final Set<Long> openAttempts = new HashSet<>();

    /** Whether a promise was made by an earlier process, or copied from another store. */
    boolean hasEarlierPromise;

    /** Whether the store has accepted last that the job has no record. */
    boolean absenceAccepted;

    long changedAt;
  }

  private final Map<String, UnacceptedJob> jobs = new HashMap<>();

  private UnacceptedJob touch(String jobId, long now) {
    UnacceptedJob job = jobs.computeIfAbsent(jobId, id -> new UnacceptedJob());
    job.changedAt = now;
    return job;
  }

  /** Registers a reservation that the store has added. */
  void onReserved(WaitingTokens.Reservation reservation, long now) {
    UnacceptedJob job = touch(reservation.jobId(), now);
    if (reservation.tokens() > 0) {
      job.openAttempts.add(reservation.attemptId());
    }
  }

  /** Registers that an attempt was withdrawn: it has not proposed a record that is still valid. */
  void onWithdrawn(WaitingTokens.Reservation reservation) {
    UnacceptedJob job = jobs.get(reservation.jobId());
    if (job != null) {
      job.openAttempts.remove(reservation.attemptId());
    }
  }

  /** Registers a promise that an earlier process made, or that was copied from another store. */
  void onPromised(String jobId, long now) {
    touch(jobId, now).hasEarlierPromise = true;
  }

  /** Registers that the store has accepted the absence of a record: all earlier ones are void. */
  void onAbsenceAccepted(String jobId, long now) {
    UnacceptedJob job = touch(jobId, now);
    job.openAttempts.clear();
    job.hasEarlierPromise = false;
    job.absenceAccepted = true;
  }

  void remove(String jobId) {
    jobs.remove(jobId);
  }

  /** Whether an attempt other than this one may have proposed a record of the job. */
  boolean mayBeProposedByOther(WaitingTokens.Reservation attempt) {
    UnacceptedJob job = jobs.get(attempt.jobId());
    return job != null
        && (job.hasEarlierPromise
            || job.openAttempts.stream().anyMatch(id -> id != attempt.attemptId()));
  }

  /** The number of jobs whose absence the store has accepted last. */
  int absences() {
    int absences = 0;
    for (UnacceptedJob job : jobs.values()) {
      absences += job.absenceAccepted ? 1 : 0;
    }
    return absences;
  }

  /**
   * Passes on the ids of the jobs whose data is not needed any more: without a reservation the
   * first record of a job is not admitted, so its promise is not needed. An absence is kept longer,
   * as a store that was down may have a record which the absence makes void.
   *
   * @param absenceTtlMs how long an accepted absence is kept, in ms
   */
  void forEachExpired(long absenceTtlMs, long now, Consumer<String> action) {
    jobs.forEach(
        (jobId, job) -> {
          long ttlMs = job.absenceAccepted ? absenceTtlMs : TTL_MS;
          if (now - job.changedAt > ttlMs) {
            action.accept(jobId);
          }
        });
  }
}
