package elmsail.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Injects the faults of a schedule and ends them, each at its time. */
final class FaultInjector {

  private record Step(long atMs, boolean begins, Fault fault) {}

  private final Cluster cluster;
  private final SoakClock clock;

  FaultInjector(Cluster cluster, SoakClock clock) {
    this.cluster = cluster;
    this.clock = clock;
  }

  /** Blocks until all faults have ended. */
  void run(List<Fault> schedule) throws IOException {
    List<Step> steps = new ArrayList<>();
    for (Fault fault : schedule) {
      steps.add(new Step(fault.startMs(), true, fault));
      steps.add(new Step(fault.endMs(), false, fault));
    }
    steps.sort(Comparator.comparingLong(Step::atMs));
    long startedAtMs = clock.nowMs();
    for (Step step : steps) {
      SoakClock.pause(startedAtMs + step.atMs() - clock.nowMs());
      if (step.begins()) {
        cluster.begin(step.fault());
      } else {
        cluster.end(step.fault());
      }
    }
  }
}
