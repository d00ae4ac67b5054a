package willowdoor.notices;

import java.util.List;

/**
 * Measures delivery to healthy readers with and without slow readers among them, and prints a
 * table.
 */
final class NoticesFigures {
  private NoticesFigures() {}

  /**
   * Simulates the traffic: each notice is published at a random front door, and each customer has a
   * burst every 4 s.
   */
  static Sim play(
      int readers, int customers, double slowShare, boolean regroup, long forMs, long seed) {
    Sim sim = new Sim(5, Limits.standard().withRegroup(regroup), seed).start();
    sim.runFor(2_500);
    for (int i = 0; i < readers; i++) {
      double healthy = 100 + sim.random.nextInt(400);
      boolean slow = sim.random.nextDouble() < slowShare;
      SimReader reader = sim.reader(1 + i % customers, healthy);
      reader.latencyMs = 2L + sim.random.nextInt(20);
      if (slow) {
        sim.unhealthy.add(reader);
        int kind = sim.random.nextInt(4);
        reader.bytesPerMs = List.of(0.0, 0.001, 1.0, 2.0).get(kind);
        if (kind > 1) {
          sim.at(forMs / 2, () -> reader.bytesPerMs = healthy);
        }
      }
    }
    for (int c = 1; c <= customers; c++) {
      for (long ms = 3_000 + c * 7L; ms < forMs; ms += 100) {
        long customer = c;
        boolean burst = (ms / 100 + c) % 40 == 0;
        sim.at(
            ms,
            () -> {
              int door = sim.random.nextInt(5);
              for (int n = 0; n < (burst ? 60 : 1); n++) {
                sim.publish(door, customer, 300 + sim.random.nextInt(200));
              }
            });
      }
    }
    sim.runFor(forMs + 3_000);
    sim.countOwed();
    return sim;
  }

  /** Arguments: readers, customers, seconds, seed. */
  public static void main(String[] args) {
    int readers = args.length > 0 ? Integer.parseInt(args[0]) : 10_000;
    int customers = args.length > 1 ? Integer.parseInt(args[1]) : 20;
    long forMs = 1_000 * (args.length > 2 ? Long.parseLong(args[2]) : 40);
    long seed = args.length > 3 ? Long.parseLong(args[3]) : 1;
    System.out.printf(
        "%d readers, %d customers, 5 front doors, %d s, seed %d%n",
        readers, customers, forMs / 1_000, seed);
    System.out.println(
        "| slow | regrouped | p50 ms | p99 ms | p99.9 ms | most held by a door's groups, kB |"
            + " moves | gaps to healthy | repeats | owed at the end |");
    System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (int i = 0; i < 3; i++) {
      Sim sim = play(readers, customers, i == 0 ? 0 : 0.01, i < 2, forMs, seed);
      int moves = sim.readers.stream().mapToInt(r -> r.moves).sum();
      int gaps =
          sim.readers.stream().filter(r -> !sim.unhealthy.contains(r)).mapToInt(r -> r.gaps).sum();
      int repeats = sim.readers.stream().mapToInt(r -> r.repeats).sum();
      System.out.printf(
          "| %d | %s | %d | %d | %d | %d | %d | %d | %d | %d |%n",
          sim.unhealthy.size(),
          i < 2 ? "yes" : "no",
          sim.quantile(0.5),
          sim.quantile(0.99),
          sim.quantile(0.999),
          sim.maxGroupBytes / 1_000,
          moves,
          gaps,
          repeats,
          sim.violations(r -> !sim.unhealthy.contains(r)).size());
    }
  }
}
