package elmsail.controlplane;

/**
 * One voter's grant of a lease, to one candidate at a time. It is kept in memory only, so a
 * restarted voter first waits for the end of what it may have granted before. Does no I/O; times
 * are in ms of the monotonic clock. Runs on the event loop.
 */
final class LeaseVoter {
  static final long LEASE_DURATION_MS = 2_000;

  private long holderId;
  private long leaseEndMs;
  private long holderRound;
  private boolean isGranted;

  /**
   * Creates one that has granted nothing.
   *
   * @param startedAtMs when this process started
   * @param isFirstProcess whether no earlier process of this voter can have granted the lease
   */
  LeaseVoter(long startedAtMs, boolean isFirstProcess) {
    leaseEndMs = isFirstProcess ? startedAtMs : startedAtMs + LEASE_DURATION_MS;
  }

  /**
   * Grants the lease for {@value #LEASE_DURATION_MS} ms from now, unless another candidate holds
   * it.
   *
   * @param candidateId process id of the candidate
   * @param round of the candidate, rising
   * @param now the present time
   * @return 0 if granted, else for how many ms the lease is held yet
   */
  long tryGrant(long candidateId, long round, long now) {
    boolean isHolder = isGranted && holderId == candidateId;
    if (now < leaseEndMs && !isHolder) {
      return leaseEndMs - now;
    }
    holderRound = isHolder ? Math.max(holderRound, round) : round;
    holderId = candidateId;
    isGranted = true;
    leaseEndMs = now + LEASE_DURATION_MS;
    return 0;
  }

  /** Waits for the end of a lease, as the slot's holder before may have granted one until now. */
  void onSlotTakenOver(long now) {
    leaseEndMs = Math.max(leaseEndMs, now + LEASE_DURATION_MS);
    isGranted = false;
  }

  /** Ends what that candidate was granted, unless in a later round. */
  void release(long candidateId, long round, long now) {
    if (isGranted && holderId == candidateId && round >= holderRound) {
      leaseEndMs = Math.min(leaseEndMs, now);
      isGranted = false;
    }
  }
}
