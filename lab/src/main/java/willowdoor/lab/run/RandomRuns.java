package willowdoor.lab.run;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import willowdoor.lab.check.Checks;
import willowdoor.lab.check.Finding;
import willowdoor.lab.fleet.LaunchLine;

/** Plays a schedule with faults that are drawn, and makes one that fails smaller. */
public final class RandomRuns {

  /** The schedule that failed, with what was found, in the folder of the play that showed it. */
  public record Failure(Path folder, List<Finding> findings, int faults) {}

  private final Schedule base;
  private final LaunchLine launch;
  private final Path folder;
  private final Consumer<String> say;
  private int plays;

  /** Each play has a folder of its own below the given one. */
  public RandomRuns(Schedule base, LaunchLine launch, Path folder, Consumer<String> say) {
    this.base = base;
    this.launch = launch;
    this.folder = folder;
    this.say = say;
  }

  /** Plays the round of a seed; null where nothing was found. */
  public Failure play(long seed, int faults, int mostTrials)
      throws IOException, InterruptedException, BadSchedule {
    List<List<Step>> drawn = new RandomFaults(base, seed).draw(faults);
    List<Failure> failures = new ArrayList<>();
    if (!fails(seed, drawn, failures)) {
      return null;
    }
    Shrinker.shrink(drawn, mostTrials, left -> fails(seed, left, failures));
    Failure smallest = failures.get(failures.size() - 1);
    Files.copy(
        smallest.folder().resolve("schedule.toml"), folder.resolve("failing-" + seed + ".toml"));
    return smallest;
  }

  private boolean fails(long seed, List<List<Step>> faults, List<Failure> failures)
      throws IOException, InterruptedException, BadSchedule {
    List<Step> steps = new ArrayList<>(base.steps);
    faults.forEach(steps::addAll);
    steps.sort(Comparator.comparingLong(Step::atMs));
    Path own = folder.resolve("play-" + plays++);
    List<Finding> found = once(base.with(seed, steps), own);
    say.accept(
        own.getFileName()
            + ": seed "
            + seed
            + ", "
            + faults.size()
            + " faults, "
            + (found.isEmpty() ? "nothing found" : found.size() + " found, first " + found.get(0)));
    if (!found.isEmpty()) {
      failures.add(new Failure(own, found, faults.size()));
    }
    return !found.isEmpty();
  }

  private List<Finding> once(Schedule schedule, Path own) throws IOException, InterruptedException {
    try (LabRun run = new LabRun(schedule, launch, own)) {
      run.play();
    }
    return Checks.judge(own);
  }
}
