package willowdoor.purge;

/**
 * The rules on which the correctness of purges depends, each in one method. The model checker shows
 * that each rule is needed.
 */
class Rules {
  static final Rules NORMAL = new Rules();

  /**
   * An acceptor has no state after a start. It is silent until everything is over that it may have
   * granted and accepted before.
   */
  long silenceMs(Timing timing) {
    return timing.keepMs();
  }

  /**
   * A holder counts a grant from the send time of its request, because the acceptor did not grant
   * the lease earlier.
   */
  long grantCountedUntil(Timing timing, long sentAt, long receivedAt) {
    return sentAt + timing.leaseMs();
  }

  /**
   * A lease is checked against the current time at each use, not against the time at which the
   * timer last fired.
   */
  long leaseCheckTime(long now, long lastTimer) {
    return now;
  }

  /** A grant carries each run that the holder has not confirmed to this acceptor. */
  boolean grantsCarryRuns() {
    return true;
  }

  /** An answer that was requested before a purge was carried out is not served after the purge. */
  boolean notPurgedSince(PurgeLog log, String customer, String target, long count) {
    return log.notPurgedSince(customer, target, count);
  }

  /**
   * An answer that was cached or requested before a lease expired is not served under a later
   * lease.
   */
  boolean sameTerm(long term, long now) {
    return term == now;
  }

  /** The number of acceptors that commit a run. */
  int majority(Fleet fleet) {
    return fleet.majority();
  }

  /** How long an acceptance counts, from the send time of the message that it answers. */
  long acceptanceValidMs(Timing timing) {
    return timing.boundMs();
  }

  /**
   * How long an acceptor assumes that a grant is counted: until the lease is over on every clock,
   * also on the clocks of coordinators.
   */
  long leaseRecordMs(Timing timing) {
    return timing.stretch(timing.leaseMs());
  }
}
