package elmsail.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.IntSupplier;

/**
 * Kills all stores at once, again and again: mostly as soon as a burst's first job is accepted, so
 * that others are being accepted, and sometimes right behind an earlier outage. Each store starts
 * again with its disk, most of them at once and one of them later. Run by one thread.
 */
final class OutageInjector {
  /** The longest time from the first kill of an outage to the second. */
  private static final int MAX_FIRST_GAP_MS = 55;

  /** From each further kill to the next. */
  private static final int LATER_GAP_MS = 10;

  private static final int MAX_ACCEPT_WAIT_MS = 1_500;
  private static final int MAX_DELAY_MS = 400;
  private static final int MAX_QUICK_RESTART_MS = 200;
  private static final int MAX_LATE_RESTART_MS = 2_300;
  private static final int AGAIN_PERCENT = 25;

  /** A store that is down, and when it starts again. */
  private record Down(Topology.Node node, long startAtMs) {}

  private final List<Topology.Node> stores;
  private final Map<Topology.Node, NodeProcess> processes;
  private final FaultHistory faults;
  private final IntSupplier acceptedJobs;
  private final SoakClock clock;
  private final Random random;
  private int outages;

  /**
   * @param acceptedJobs the number of jobs that were accepted so far
   */
  OutageInjector(
      Topology topology,
      Map<Topology.Node, NodeProcess> processes,
      FaultHistory faults,
      IntSupplier acceptedJobs,
      SoakClock clock,
      long seed) {
    this.stores = topology.nodes(ProcessRole.STORE);
    this.processes = processes;
    this.faults = faults;
    this.acceptedJobs = acceptedJobs;
    this.clock = clock;
    this.random = new Random(seed);
  }

  int outages() {
    return outages;
  }

  /** Blocks for that time, and then until all stores run again. */
  void run(long forMs) throws IOException {
    long endMs = clock.nowMs() + forMs;
    while (clock.nowMs() < endMs) {
      if (random.nextInt(100) < AGAIN_PERCENT) {
        SoakClock.pause(random.nextInt(MAX_DELAY_MS));
      } else {
        SoakClock.pause(BurstClient.untilNextBurstMs(clock.nowMs()));
        awaitAcceptedJob();
      }
      killAll();
    }
  }

  private void awaitAcceptedJob() {
    int before = acceptedJobs.getAsInt();
    long untilMs = clock.nowMs() + MAX_ACCEPT_WAIT_MS;
    while (acceptedJobs.getAsInt() == before && clock.nowMs() < untilMs) {
      SoakClock.pause(1);
    }
  }

  private void killAll() throws IOException {
    outages++;
    Set<String> machines = new HashSet<>();
    stores.forEach(store -> machines.add(store.machine().name()));
    FaultHistory.Entry fault = faults.begin(machines, true, clock.nowMs());
    List<Topology.Node> order = new ArrayList<>(stores);
    Collections.shuffle(order, random);
    List<Down> down = new ArrayList<>();
    Topology.Node late = stores.get(random.nextInt(stores.size()));
    int gapMs = random.nextInt(MAX_FIRST_GAP_MS);
    for (Topology.Node store : order) {
      processes.get(store).kill();
      int longest = store.equals(late) ? MAX_LATE_RESTART_MS : MAX_QUICK_RESTART_MS;
      down.add(new Down(store, clock.nowMs() + random.nextInt(longest)));
      SoakClock.pause(gapMs);
      gapMs = LATER_GAP_MS;
    }
    down.sort((one, other) -> Long.compare(one.startAtMs(), other.startAtMs()));
    for (Down store : down) {
      SoakClock.pause(store.startAtMs() - clock.nowMs());
      processes.get(store.node()).start(false);
    }
    faults.end(fault, clock.nowMs());
  }
}
