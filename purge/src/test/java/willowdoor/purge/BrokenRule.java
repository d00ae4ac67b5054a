package willowdoor.purge;

/**
 * Each rule of {@link Rules} replaced by a broken variant, with the scenario in which the model
 * checker finds the violation.
 */
enum BrokenRule {
  NO_SILENCE_AFTER_A_START(
      Scenario.ACCEPTOR_RESTARTS,
      new Rules() {
        @Override
        long silenceMs(Timing timing) {
          return 0;
        }
      }),
  LEASE_LONGER_THAN_GRANTED(
      Scenario.ONE_PURGE,
      new Rules() {
        @Override
        long grantCountedUntil(Timing timing, long sentAt, long receivedAt) {
          return sentAt + 2 * timing.boundMs();
        }
      }),
  LEASE_COUNTED_FROM_THE_ANSWER(
      Scenario.ONE_PURGE,
      new Rules() {
        @Override
        long grantCountedUntil(Timing timing, long sentAt, long receivedAt) {
          return receivedAt + timing.leaseMs();
        }
      }),
  LEASE_BY_TIMER(
      Scenario.ONE_PURGE,
      new Rules() {
        @Override
        long leaseCheckTime(long now, long lastTimer) {
          return lastTimer;
        }
      }),
  FILL_KEPT_ACROSS_A_PURGE(
      Scenario.ONE_PURGE,
      new Rules() {
        @Override
        boolean notPurgedSince(PurgeLog log, String customer, String target, long count) {
          return true;
        }
      }),
  KEPT_ACROSS_A_LAPSE(
      Scenario.ONE_PURGE,
      new Rules() {
        @Override
        boolean sameTerm(long term, long now) {
          return true;
        }
      }),
  MINORITY_COMMITS(
      Scenario.ONE_PURGE,
      new Rules() {
        @Override
        int majority(Fleet fleet) {
          return 1;
        }
      }),
  RENEWALS_WITHOUT_PURGES(
      Scenario.ONE_PURGE,
      new Rules() {
        @Override
        boolean grantsCarryRuns() {
          return false;
        }
      }),
  NO_ROOM_FOR_DRIFT(
      Scenario.DRIFT_SLOW_GATEWAY,
      new Rules() {
        @Override
        long leaseRecordMs(Timing timing) {
          return timing.leaseMs();
        }
      }),
  ACCEPTANCE_COUNTS_FOR_EVER(
      Scenario.OLD_ACCEPTANCE,
      new Rules() {
        @Override
        long acceptanceValidMs(Timing timing) {
          return Integer.MAX_VALUE;
        }
      });

  final Scenario scenario;
  final Rules rules;

  BrokenRule(Scenario scenario, Rules rules) {
    this.scenario = scenario;
    this.rules = rules;
  }
}
