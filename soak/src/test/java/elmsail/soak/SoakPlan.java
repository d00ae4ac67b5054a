package elmsail.soak;

/**
 * What one run is made of.
 *
 * @param loadMs how long there is load, and faults within it
 * @param workers clients of batch jobs without a limit
 * @param limitedWorkers those on the route with a limit, half as many again of impatient ones
 * @param requestClients clients of plain requests and streams
 */
record SoakPlan(long seed, long loadMs, int workers, int limitedWorkers, int requestClients) {

  /** The form for the build. */
  static SoakPlan brief(long seed) {
    return new SoakPlan(seed, 20_000, 3, 2, 2);
  }

  /** The form for many seeds. */
  static SoakPlan full(long seed) {
    return new SoakPlan(seed, 32_000, 4, 8, 3);
  }

  int workers(BatchWorker.Profile habit) {
    return switch (habit) {
      case BULK -> workers;
      case LIMITED -> limitedWorkers;
      case IMPATIENT -> limitedWorkers / 2;
      case LARGE -> 1;
    };
  }
}
