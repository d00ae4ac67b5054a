package elmsail.controlplane;

/**
 * A voter's side of a lease: grants the lease to one candidate at a time. The grant is kept in
 * memory only, so a restarted voter first waits until any grant by its previous process has
 * expired. Does no I/O; times are in ms of the monotonic clock. Runs on the event loop.
 */
final class LeaseVoter {
  static final long LEASE_DURATION_MS = 2_000;

  private long holderId;
  private long leaseEndMs;
  private long holderRound;
  private boolean isGranted;

  /**
   * Creates a voter that has granted nothing.
   *
   * @param startedAtMs when this process started
   * @param isFirstProcess whether no earlier process of this voter can have granted the lease
   */
  LeaseVoter(long startedAtMs, boolean isFirstProcess) {
    leaseEndMs = isFirstProcess ? startedAtMs : startedAtMs + LEASE_DURATION_MS;
  }

  /**
   * Grants the lease for {@value #LEASE_DURATION_MS} ms from now, unless another candidate holds
   * the grant.
   *
   * @param candidateId process id of the candidate
   * @param round number of the candidate's round; rises with each request
   * @param now the present time
   * @return 0 if granted, else the remaining time in ms until the current grant expires
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

  /**
   * Refuses grants for one lease duration, because the slot's previous holder may have granted the
   * lease up to now.
   */
  void onSlotTakenOver(long now) {
    leaseEndMs = Math.max(leaseEndMs, now + LEASE_DURATION_MS);
    isGranted = false;
  }

  /** Ends the candidate's grant, unless the grant was renewed in a later round. */
  void release(long candidateId, long round, long now) {
    if (isGranted && holderId == candidateId && round >= holderRound) {
      leaseEndMs = Math.min(leaseEndMs, now);
      isGranted = false;
    }
  }
}
