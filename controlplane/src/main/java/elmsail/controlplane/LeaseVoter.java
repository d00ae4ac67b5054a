package elmsail.controlplane;

/**
 * One voter's memory of one duty's lease; it has none on disk, so it waits out those of its
 * instanceId before.
 */
final class LeaseVoter {
  static final long LEASE_MS = 2_000;

  private long holder;
  private long until;
  private long holdersRound;
  private boolean granted;

  /**
   * Makes one.
   *
   * @param start steady ms at which this process began
   * @param founding whether no process before this one can have granted anything
   */
  LeaseVoter(long start, boolean founding) {
    until = founding ? start : start + LEASE_MS;
  }

  /**
   * Grants the lease for {@link #LEASE_MS} from now, or tells how many ms it is taken yet; 0 is
   * granted.
   *
   * @param round of the asker, rising
   */
  long request(long who, long round, long now) {
    boolean same = granted && holder == who;
    if (now < until && !same) {
      return until - now;
    }
    holdersRound = same ? Math.max(holdersRound, round) : round;
    holder = who;
    granted = true;
    until = now + LEASE_MS;
    return 0;
  }

  /**
   * This process has taken a slot over: whoever held it before may have granted the lease until
   * now.
   */
  void tookOver(long now) {
    until = Math.max(until, now + LEASE_MS);
    granted = false;
  }

  /** The asker got no majority in that round: what it was granted until then is free again. */
  void release(long who, long round, long now) {
    if (granted && holder == who && round >= holdersRound) {
      until = Math.min(until, now);
      granted = false;
    }
  }
}
