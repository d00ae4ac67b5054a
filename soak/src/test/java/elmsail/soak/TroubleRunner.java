package elmsail.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Puts the troubles of a schedule in force and ends them, each at its time. */
final class TroubleRunner {

  private record Step(long atMs, boolean begins, Trouble trouble) {}

  private final Cluster cluster;
  private final SoakClock clock;

  TroubleRunner(Cluster cluster, SoakClock clock) {
    this.cluster = cluster;
    this.clock = clock;
  }

  /** Returns once all are over. */
  void run(List<Trouble> schedule) throws IOException {
    List<Step> steps = new ArrayList<>();
    for (Trouble trouble : schedule) {
      steps.add(new Step(trouble.startMs(), true, trouble));
      steps.add(new Step(trouble.endMs(), false, trouble));
    }
    steps.sort(Comparator.comparingLong(Step::atMs));
    long began = clock.now();
    for (Step step : steps) {
      SoakClock.pause(began + step.atMs() - clock.now());
      if (step.begins()) {
        cluster.begin(step.trouble());
      } else {
        cluster.end(step.trouble());
      }
    }
  }
}
