package elmsail.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * Generates a run's fault schedule from its seed: bursts in which two or three faults overlap, with
 * pauses in which machines are in touch again. Only one counter machine and one vault machine lose
 * their disk in a run, so that no set loses a second one before the first has joined again.
 */
final class FaultScheduleGenerator {
  static final int MAX_CONCURRENT = 3;
  private static final long BURST_MS = 7_000;
  private static final long CALM_MS = 5_000;
  private static final int FAULTS_PER_BURST = 6;
  private static final int MAX_ATTEMPTS = 200;
  private static final long MIN_FAULT_MS = 200;
  private static final long MAX_FAULT_MS = 3_500;

  private final Random random;
  private final List<Topology.Node> nodes;
  private final List<Machine> machines;
  private final List<Fault> generated = new ArrayList<>();
  private boolean controlPlaneDiskLost;
  private boolean storeDiskLost;

  private FaultScheduleGenerator(long seed, List<Machine> machines, List<Topology.Node> nodes) {
    this.random = new Random(seed);
    this.machines = machines;
    this.nodes = nodes;
  }

  /** The faults of a seed in the order of their starts; all end by {@code toMs}. */
  static List<Fault> generate(
      long seed, long fromMs, long toMs, List<Machine> machines, List<Topology.Node> nodes) {
    FaultScheduleGenerator drawer = new FaultScheduleGenerator(seed, machines, nodes);
    for (long begin = fromMs; begin + MIN_FAULT_MS < toMs; begin += BURST_MS + CALM_MS) {
      drawer.burst(begin, Math.min(begin + BURST_MS, toMs));
    }
    drawer.generated.sort(Comparator.comparingLong(Fault::startMs));
    return List.copyOf(drawer.generated);
  }

  private void burst(long begin, long end) {
    int wanted = FAULTS_PER_BURST - 1 + random.nextInt(3);
    int taken = 0;
    for (int i = 0; i < MAX_ATTEMPTS && taken < wanted; i++) {
      Fault one = randomFault(begin, end);
      if (one.endMs() <= end && fits(one)) {
        generated.add(one);
        recordDiskLoss(one);
        taken++;
      }
    }
  }

  private Fault randomFault(long begin, long end) {
    FaultKind[] kinds = FaultKind.values();
    FaultKind kind = kinds[random.nextInt(kinds.length)];
    long start = begin + random.nextInt((int) Math.max(1, end - begin));
    long length = MIN_FAULT_MS + random.nextInt((int) (MAX_FAULT_MS - MIN_FAULT_MS));
    String other = "";
    String target;
    if (kind.affectsMachine()) {
      target = machines.get(random.nextInt(machines.size())).name();
    } else {
      target = nodes.get(random.nextInt(nodes.size())).name();
    }
    if (kind.affectsPair()) {
      other = nodes.get(random.nextInt(nodes.size())).name();
    }
    return new Fault(kind, target, other, start, length);
  }

  private boolean fits(Fault one) {
    if (one.target().equals(one.other())) {
      return false;
    }
    if (one.kind() == FaultKind.LOSE_DISK
        && (keepsJobs(one.target()) ? storeDiskLost : controlPlaneDiskLost)) {
      return false;
    }
    List<Fault> beside = generated.stream().filter(one::overlaps).toList();
    return beside.size() < MAX_CONCURRENT
        && beside.stream().allMatch(that -> mayOverlap(one, that))
        && beside.stream().noneMatch(that -> exceedsConcurrency(that, one));
  }

  /** A process is suspended, killed and started by one fault at a time. */
  private boolean mayOverlap(Fault one, Fault that) {
    if (one.kind().affectsLinks() != that.kind().affectsLinks()) {
      return true;
    }
    if (one.kind().affectsLinks()) {
      return !machine(one.target()).equals(machine(that.target()));
    }
    return !machine(one.target()).equals(machine(that.target()));
  }

  private boolean exceedsConcurrency(Fault that, Fault added) {
    long others = generated.stream().filter(one -> one != that && that.overlaps(one)).count();
    return others + 1 >= MAX_CONCURRENT && that.overlaps(added);
  }

  private String machine(String target) {
    return nodes.stream()
        .filter(node -> node.name().equals(target))
        .map(node -> node.machine().name())
        .findFirst()
        .orElse(target);
  }

  private boolean keepsJobs(String machine) {
    return machines.stream().anyMatch(one -> one.keepsJobs() && one.name().equals(machine));
  }

  private void recordDiskLoss(Fault one) {
    if (one.kind() == FaultKind.LOSE_DISK) {
      storeDiskLost |= keepsJobs(one.target());
      controlPlaneDiskLost |= !keepsJobs(one.target());
    }
  }
}
