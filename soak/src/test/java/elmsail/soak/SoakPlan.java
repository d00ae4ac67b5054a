package elmsail.soak;

/**
 * What one run is made of.
 *
 * @param loadMs how long there is load, and troubles within it
 * @param batchWorkers clients of batch jobs on each of the two routes
 * @param requestClients clients of plain requests and streams
 */
record SoakPlan(long seed, long loadMs, int batchWorkers, int requestClients) {

  /** The form for the build. */
  static SoakPlan brief(long seed) {
    return new SoakPlan(seed, 20_000, 3, 2);
  }

  /** The form for many seeds. */
  static SoakPlan full(long seed) {
    return new SoakPlan(seed, 32_000, 4, 3);
  }
}
