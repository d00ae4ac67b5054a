package willowdoor.purge;

/** Each rule bent by itself, with the play that tells. */
enum Bent {
  NO_SILENCE_AFTER_A_START(
      Plays.KEEPER_RESTARTS,
      new Rules() {
        @Override
        long silenceMs(Timing timing) {
          return 0;
        }
      }),
  LEASE_LONGER_THAN_GRANTED(
      Plays.ONE_PURGE,
      new Rules() {
        @Override
        long countedUntil(Timing timing, long sentAt, long receivedAt) {
          return sentAt + 2 * timing.boundMs();
        }
      }),
  LEASE_COUNTED_FROM_THE_ANSWER(
      Plays.ONE_PURGE,
      new Rules() {
        @Override
        long countedUntil(Timing timing, long sentAt, long receivedAt) {
          return receivedAt + timing.leaseMs();
        }
      }),
  LEASE_BY_TIMER(
      Plays.ONE_PURGE,
      new Rules() {
        @Override
        long lookedAt(long now, long lastTimer) {
          return lastTimer;
        }
      }),
  FILL_KEPT_ACROSS_A_PURGE(
      Plays.ONE_PURGE,
      new Rules() {
        @Override
        boolean clean(PurgeLog log, String customer, String target, long count) {
          return true;
        }
      }),
  KEPT_ACROSS_A_LAPSE(
      Plays.ONE_PURGE,
      new Rules() {
        @Override
        boolean sameTerm(long term, long now) {
          return true;
        }
      }),
  MINORITY_COMMITS(
      Plays.ONE_PURGE,
      new Rules() {
        @Override
        int majority(Fleet fleet) {
          return 1;
        }
      }),
  RENEWALS_WITHOUT_PURGES(
      Plays.ONE_PURGE,
      new Rules() {
        @Override
        boolean carries() {
          return false;
        }
      }),
  NO_ROOM_FOR_DRIFT(
      Plays.DRIFT_SLOW_DOOR,
      new Rules() {
        @Override
        long recordMs(Timing timing) {
          return timing.leaseMs();
        }
      }),
  ACCEPTANCE_COUNTS_FOR_EVER(
      Plays.OLD_ACCEPTANCE,
      new Rules() {
        @Override
        long countMs(Timing timing) {
          return Integer.MAX_VALUE;
        }
      });

  final Plays play;
  final Rules rules;

  Bent(Plays play, Rules rules) {
    this.play = play;
    this.rules = rules;
  }
}
