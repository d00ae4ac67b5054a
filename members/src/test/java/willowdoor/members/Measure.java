package willowdoor.members;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * Measures a simulated fleet: {@code Measure members|cuts|loss SIZE [key=value...]}. Not a test.
 */
final class Measure {

  private Measure() {}

  public static void main(String[] args) throws IOException {
    int size = Integer.parseInt(args[1]);
    Map<String, Object> timing = new java.util.HashMap<>();
    Arrays.stream(args)
        .skip(2)
        .map(a -> a.split("="))
        .forEach(
            a ->
                timing.put(
                    a[0], a[1].contains(".") ? (Object) Double.valueOf(a[1]) : Long.valueOf(a[1])));
    switch (args[0]) {
      case "members" -> measureFailureDetection(size, timing);
      case "cuts" -> measurePartitions(size, timing);
      default -> measureLoss(size, timing);
    }
  }

  /** Traffic per member without faults, and the time until all members detect a kill. */
  private static void measureFailureDetection(int size, Map<String, Object> timing)
      throws IOException {
    ModelFleet fleet =
        size <= 200 ? ModelFleet.converged(size, 1, timing) : convergedAtStart(size, timing);
    fleet.run(60_000);
    fleet.bytes = 0;
    fleet.datagrams = 0;
    fleet.run(10_000);
    System.out.printf(
        "%d members without faults: %.0f bytes/s and %.1f datagrams/s per member%n",
        size, fleet.bytes / 10.0 / size, fleet.datagrams / 10.0 / size);
    int kills = size <= 200 ? 200 : size <= 2_000 ? 60 : 20;
    long[] first = new long[kills];
    long[] all = new long[kills];
    long[] known = new long[1];
    for (int i = 0; i < kills; i++) {
      int victim = fleet.random.nextInt(size);
      int left = fleet.nodes.size() - 1;
      fleet.kill(victim);
      long began = fleet.now;
      long[] seen = {0, 0};
      fleet.watcher =
          (node, previous, current) -> {
            if (current.member() == victim && current.state() == MemberState.FAILED) {
              seen[0] = seen[0] == 0 ? fleet.now - began : seen[0];
              seen[1]++;
              known[0] = fleet.now - began;
            }
          };
      while (seen[1] < left && fleet.now - began < 60_000) {
        fleet.run(100);
      }
      first[i] = seen[0];
      all[i] = known[0];
      fleet.start(victim, 0);
      fleet.run(6_000);
    }
    System.out.printf(
        "%d kills: first detection median %d ms, detection by all median %d, p99 %d ms%n",
        kills,
        ModelFleet.quantile(first, 0.5),
        ModelFleet.quantile(all, 0.5),
        ModelFleet.quantile(all, 0.99));
  }

  /** A fleet whose members start at once and receive the full view, without the join protocol. */
  private static ModelFleet convergedAtStart(int size, Map<String, Object> timing)
      throws IOException {
    ModelFleet fleet = new ModelFleet(size, 1, timing);
    List<Statement> all = new ArrayList<>();
    fleet.network = (from, to) -> false;
    for (int i = 0; i < size; i++) {
      Statement s = fleet.start(i, 0).member.statement(i);
      all.add(s.withState(MemberState.ALIVE));
    }
    for (ModelFleet.Node node : fleet.nodes) {
      node.member.tick(fleet.now);
      int from = node.index == 0 ? 1 : 0;
      node.member.receive(
          new Message(
              new Message.Header(
                  from, node.index, all.get(from).generation(), 0, 1, fleet.roster.hash()),
              new Message.ExchangeResponse(1, 0, 1, 0),
              all),
          fleet.now);
      node.scheduleWake();
    }
    fleet.network = (from, to) -> true;
    return fleet;
  }

  /**
   * Time until all views are equal after a partition has healed, and the traffic of that time
   * relative to the traffic without faults.
   */
  private static void measurePartitions(int size, Map<String, Object> timing) throws IOException {
    for (int part : new int[] {size / 2, size * 49 / 100, 1}) {
      ModelFleet fleet = ModelFleet.converged(size, 2, timing);
      fleet.run(60_000);
      fleet.bytes = 0;
      fleet.run(10_000);
      double normalBytesPerSecond = fleet.bytes / 10.0;
      int partitions = 20;
      long[] healed = new long[partitions];
      double[] ratio = new double[partitions];
      long[] isolatedAfter = new long[partitions];
      for (int i = 0; i < partitions; i++) {
        fleet.network = (from, to) -> from < part == to < part;
        long began = fleet.now;
        while (fleet.now - began < 40_000) {
          fleet.run(100);
          if (isolatedAfter[i] == 0
              && fleet.nodes.stream().allMatch(n -> n.index >= part || n.member.isolated())) {
            isolatedAfter[i] = fleet.now - began;
          }
        }
        fleet.network = (from, to) -> true;
        fleet.bytes = 0;
        healed[i] = fleet.runUntilViewsEqual(60_000);
        long healing = fleet.bytes;
        ratio[i] = healing / (Math.max(1, healed[i]) / 1e3) / normalBytesPerSecond;
        fleet.run(20_000);
      }
      Arrays.sort(ratio);
      System.out.printf(
          "%d|%d: the smaller side is isolated after %d ms at most; views equal after healing: median"
              + " %d, p99 %d ms; bytes/s relative to no faults: median %.1f, max %.1f%n",
          part,
          size - part,
          ModelFleet.quantile(isolatedAfter, 1),
          ModelFleet.quantile(healed, 0.5),
          ModelFleet.quantile(healed, 0.99),
          ratio[partitions / 2],
          ratio[partitions - 1]);
    }
  }

  /** False accusations and failures in ten minutes of datagram loss. */
  private static void measureLoss(int size, Map<String, Object> timing) throws IOException {
    for (boolean lifeguard : new boolean[] {true, false}) {
      for (double loss : new double[] {0.05, 0.3}) {
        timing.put("lifeguard", lifeguard);
        ModelFleet fleet = ModelFleet.converged(size, 3, timing);
        fleet.loss = loss;
        fleet.delayMs = loss > 0.1 ? 200 : 2;
        fleet.run(600_000);
        System.out.printf(
            "loss %.2f, Lifeguard %s, 10 min: accused %d, found failed %d, refuted %d%n",
            loss,
            lifeguard ? "on" : "off",
            fleet.count(Count.ACCUSED),
            fleet.count(Count.FOUND_FAILED),
            fleet.count(Count.REFUTED));
      }
    }
  }
}
