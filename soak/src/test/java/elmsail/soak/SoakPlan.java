package elmsail.soak;

/**
 * What one run is made of.
 *
 * @param loadMs how long there is load, and troubles within it
 * @param batchWorkers clients of batch jobs, twice as many on the route with a limit
 * @param requestClients clients of plain requests and streams
 */
record SoakPlan(long seed, long loadMs, int batchWorkers, int requestClients) {

  int workers(BatchWorker.Habit habit) {
    return switch (habit) {
      case BULK -> batchWorkers;
      case LIMITED -> 2 * batchWorkers;
      case LARGE -> 1;
    };
  }

  /** The form for the build. */
  static SoakPlan brief(long seed) {
    return new SoakPlan(seed, 20_000, 3, 2);
  }

  /** The form for many seeds. */
  static SoakPlan full(long seed) {
    return new SoakPlan(seed, 32_000, 4, 3);
  }
}
