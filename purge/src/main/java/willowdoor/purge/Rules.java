package willowdoor.purge;

/**
 * The rules that the promise stands on, each in one place. The model checker shows that each of
 * them is needed.
 */
class Rules {
  static final Rules NORMAL = new Rules();

  /**
   * A keeper that starts remembers nothing: it is silent until what it may have granted and
   * accepted is over.
   */
  long silenceMs(Timing timing) {
    return timing.keepMs();
  }

  /** A holder counts a grant from the sending of its request, as the keeper granted no earlier. */
  long grantCountedUntil(Timing timing, long sentAt, long receivedAt) {
    return sentAt + timing.leaseMs();
  }

  /** A lease is looked at on the clock at each use, not when the timer last fired. */
  long leaseCheckTime(long now, long lastTimer) {
    return now;
  }

  /** A grant carries each run that the holder has not confirmed to this keeper. */
  boolean grantsCarryRuns() {
    return true;
  }

  /** What was begun before a purge was carried out is not served after it. */
  boolean notPurgedSince(PurgeLog log, String customer, String target, long count) {
    return log.notPurgedSince(customer, target, count);
  }

  /** What was kept or begun before a lapse is not served after it. */
  boolean sameTerm(long term, long now) {
    return term == now;
  }

  /** So many keepers commit. */
  int majority(Fleet fleet) {
    return fleet.majority();
  }

  /** An acceptance counts so long from the sending of what it answers. */
  long acceptanceValidMs(Timing timing) {
    return timing.boundMs();
  }

  /**
   * A keeper takes a grant to be counted until that is over on any clock, also on those of
   * coordinators.
   */
  long leaseRecordMs(Timing timing) {
    return timing.stretch(timing.leaseMs());
  }
}
