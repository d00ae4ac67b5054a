package elmsail.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * Draws a run's troubles from its seed: bursts in which two or three overlap, with calm between
 * them in which machines are in touch again. Only one counter machine and one vault machine lose
 * their disk in a run, so that no set loses a second one before the first has joined again.
 */
final class FaultScheduleGenerator {
  static final int MAX_CONCURRENT = 3;
  private static final long BURST_MS = 7_000;
  private static final long CALM_MS = 5_000;
  private static final int PER_BURST = 6;
  private static final int DRAWS = 200;
  private static final long SHORTEST_MS = 200;
  private static final long LONGEST_MS = 3_500;

  private final Random random;
  private final List<Topology.Node> nodes;
  private final List<Machine> machines;
  private final List<Fault> drawn = new ArrayList<>();
  private boolean counterDiskLost;
  private boolean vaultDiskLost;

  private FaultScheduleGenerator(long seed, List<Machine> machines, List<Topology.Node> nodes) {
    this.random = new Random(seed);
    this.machines = machines;
    this.nodes = nodes;
  }

  /** The troubles of a seed in the order of their starts; all are over by the end. */
  static List<Fault> draw(
      long seed, long fromMs, long toMs, List<Machine> machines, List<Topology.Node> nodes) {
    FaultScheduleGenerator drawer = new FaultScheduleGenerator(seed, machines, nodes);
    for (long begin = fromMs; begin + SHORTEST_MS < toMs; begin += BURST_MS + CALM_MS) {
      drawer.burst(begin, Math.min(begin + BURST_MS, toMs));
    }
    drawer.drawn.sort(Comparator.comparingLong(Fault::startMs));
    return List.copyOf(drawer.drawn);
  }

  private void burst(long begin, long end) {
    int wanted = PER_BURST - 1 + random.nextInt(3);
    int taken = 0;
    for (int i = 0; i < DRAWS && taken < wanted; i++) {
      Fault one = one(begin, end);
      if (one.endMs() <= end && fits(one)) {
        drawn.add(one);
        noteDisk(one);
        taken++;
      }
    }
  }

  private Fault one(long begin, long end) {
    FaultKind[] kinds = FaultKind.values();
    FaultKind kind = kinds[random.nextInt(kinds.length)];
    long start = begin + random.nextInt((int) Math.max(1, end - begin));
    long length = SHORTEST_MS + random.nextInt((int) (LONGEST_MS - SHORTEST_MS));
    String other = "";
    String target;
    if (kind.ofMachine()) {
      target = machines.get(random.nextInt(machines.size())).name();
    } else {
      target = nodes.get(random.nextInt(nodes.size())).name();
    }
    if (kind.ofPair()) {
      other = nodes.get(random.nextInt(nodes.size())).name();
    }
    return new Fault(kind, target, other, start, length);
  }

  private boolean fits(Fault one) {
    if (one.target().equals(one.other())) {
      return false;
    }
    if (one.kind() == FaultKind.LOSE_DISK
        && (isVault(one.target()) ? vaultDiskLost : counterDiskLost)) {
      return false;
    }
    List<Fault> beside = drawn.stream().filter(one::overlaps).toList();
    return beside.size() < MAX_CONCURRENT
        && beside.stream().allMatch(that -> mayOverlap(one, that))
        && beside.stream().noneMatch(that -> tooMany(that, one));
  }

  /** A process is stopped, killed and started by one trouble at a time. */
  private boolean mayOverlap(Fault one, Fault that) {
    if (one.kind().ofLinks() != that.kind().ofLinks()) {
      return true;
    }
    if (one.kind().ofLinks()) {
      return !machine(one.target()).equals(machine(that.target()));
    }
    return !machine(one.target()).equals(machine(that.target()));
  }

  private boolean tooMany(Fault that, Fault added) {
    long others = drawn.stream().filter(one -> one != that && that.overlaps(one)).count();
    return others + 1 >= MAX_CONCURRENT && that.overlaps(added);
  }

  private String machine(String target) {
    return nodes.stream()
        .filter(node -> node.name().equals(target))
        .map(node -> node.machine().name())
        .findFirst()
        .orElse(target);
  }

  private boolean isVault(String machine) {
    return machines.stream().anyMatch(one -> one.keepsJobs() && one.name().equals(machine));
  }

  private void noteDisk(Fault one) {
    if (one.kind() == FaultKind.LOSE_DISK) {
      vaultDiskLost |= isVault(one.target());
      counterDiskLost |= !isVault(one.target());
    }
  }
}
