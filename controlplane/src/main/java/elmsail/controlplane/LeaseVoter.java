package elmsail.controlplane;

/**
 * One voter's memory of one duty's lease; it has none on disk, so it waits out those of its
 * instanceId before.
 */
final class LeaseVoter {
  static final long LEASE_DURATION_MS = 2_000;

  private long holderId;
  private long leaseEndMs;
  private long holderRound;
  private boolean isGranted;

  /**
   * Makes one.
   *
   * @param startedAtMs steady ms at which this process began
   * @param isFirstProcess whether no process before this one can have granted anything
   */
  LeaseVoter(long startedAtMs, boolean isFirstProcess) {
    leaseEndMs = isFirstProcess ? startedAtMs : startedAtMs + LEASE_DURATION_MS;
  }

  /**
   * Grants the lease for {@link #LEASE_DURATION_MS} from now, or tells how many ms it is taken yet;
   * 0 is granted.
   *
   * @param round of the asker, rising
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
   * This process has taken a slot over: whoever held it before may have granted the lease until
   * now.
   */
  void onSlotTakenOver(long now) {
    leaseEndMs = Math.max(leaseEndMs, now + LEASE_DURATION_MS);
    isGranted = false;
  }

  /** The asker got no majority in that round: what it was granted until then is free again. */
  void release(long candidateId, long round, long now) {
    if (isGranted && holderId == candidateId && round >= holderRound) {
      leaseEndMs = Math.min(leaseEndMs, now);
      isGranted = false;
    }
  }
}
