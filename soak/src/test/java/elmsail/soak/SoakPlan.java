package elmsail.soak;

/**
 * What one run is made of.
 *
 * @param disturbance what is done to the processes
 * @param loadMs how long there is load, and faults within it
 * @param workers clients of batch jobs without a limit
 * @param limitedWorkers those on the route with a limit, half as many again of impatient ones
 * @param burstClients clients that submit their jobs all at the same time
 * @param requestClients clients of plain requests and streams
 */
record SoakPlan(
    long seed,
    Disturbance disturbance,
    ClusterScale scale,
    long loadMs,
    int workers,
    int limitedWorkers,
    int burstClients,
    int requestClients) {

  /** What is done to the processes. */
  enum Disturbance {
    /** Faults of processes, machines and links, from a schedule. */
    FAULTS,
    /** All stores are killed at once, again and again, beside signals to the other processes. */
    OUTAGES
  }

  /** The form for the build. */
  static SoakPlan brief(long seed) {
    return new SoakPlan(seed, Disturbance.FAULTS, ClusterScale.SMALL, 20_000, 3, 2, 0, 2);
  }

  /** The form for many seeds. */
  static SoakPlan full(long seed) {
    return new SoakPlan(seed, Disturbance.FAULTS, ClusterScale.SMALL, 32_000, 4, 8, 0, 3);
  }

  /** Store outages in bursts of jobs; the form for the build. */
  static SoakPlan briefOutages(long seed) {
    return new SoakPlan(seed, Disturbance.OUTAGES, ClusterScale.SMALL, 20_000, 0, 1, 20, 1);
  }

  /** Store outages in bursts of jobs; the form for many seeds, every tenth with many processes. */
  static SoakPlan fullOutages(long seed) {
    ClusterScale scale = seed % 10 == 0 ? ClusterScale.LARGE : ClusterScale.SMALL;
    return new SoakPlan(seed, Disturbance.OUTAGES, scale, 30_000, 1, 2, 20, 2);
  }

  int workers(BatchWorker.Profile habit) {
    return switch (habit) {
      case BULK -> workers;
      case LIMITED -> limitedWorkers;
      case IMPATIENT -> limitedWorkers / 2;
      case LARGE -> disturbance == Disturbance.FAULTS ? 1 : 0;
    };
  }
}
