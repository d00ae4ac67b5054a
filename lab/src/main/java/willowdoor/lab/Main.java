package willowdoor.lab;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import willowdoor.lab.check.Checks;
import willowdoor.lab.check.Finding;
import willowdoor.lab.fleet.LaunchLine;
import willowdoor.lab.load.Clients;
import willowdoor.lab.run.BadSchedule;
import willowdoor.lab.run.LabRun;
import willowdoor.lab.run.RandomRuns;
import willowdoor.lab.run.Schedule;

/**
 * The lab's command line. Ends with 0 if nothing was found, 1 if something was, 2 if it cannot be
 * done.
 */
@Command(
    name = "willowdoor-lab",
    subcommands = {Main.Run.class, Main.Drawn.class, Main.Check.class},
    description = "Real front doors as processes, with faults between them.")
public final class Main {

  private static final int FOUND = 1;
  private static final int MOST_SHOWN = 20;

  public static void main(String[] args) {
    CommandLine line = new CommandLine(new Main());
    line.setExecutionExceptionHandler(
        (e, command, result) -> {
          String reason =
              e instanceof NoSuchFileException
                  ? "there is no file " + e.getMessage()
                  : e instanceof BadSchedule || e instanceof IOException
                      ? e.getMessage()
                      : e.toString();
          command.getErr().println("willowdoor-lab: " + reason);
          return CommandLine.ExitCode.USAGE;
        });
    System.exit(line.execute(args));
  }

  private Main() {}

  /** What plays need: the program under test, and where to write. */
  static final class Program {
    @Option(
        names = "--jar",
        description = "the front door's jar (default: the one built beside the lab)")
    private Path jar;

    @Option(names = "--deploy", description = "the file whose 'run' tells the runtime's flags")
    private Path deploy;

    @Option(names = "--out", required = true, description = "a new folder for records and logs")
    private Path out;

    LaunchLine launch() throws IOException {
      Path root = root();
      return LaunchLine.read(
          deploy == null ? root.resolve("deploy/balancer.toml") : deploy,
          jar == null ? root.resolve("front/target/willowdoor.jar") : jar);
    }

    Path out() throws IOException {
      if (Files.exists(out.resolve("records.jsonl"))) {
        throw new IOException(out + " holds another run's records");
      }
      return out;
    }

    /** The checkout that this jar was built in, lab/target/JAR. */
    private static Path root() throws IOException {
      try {
        Path self = Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        return self.resolve("../../..").normalize();
      } catch (URISyntaxException e) {
        throw new IOException(e);
      }
    }
  }

  @Command(
      name = "run",
      mixinStandardHelpOptions = true,
      description = "Plays a schedule and judges it.")
  static final class Run implements Callable<Integer> {
    @Parameters(paramLabel = "FILE.toml")
    private Path schedule;

    @Mixin private Program program;
    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException, BadSchedule {
      PrintWriter out = spec.commandLine().getOut();
      Schedule played = Schedule.read(schedule);
      Path folder = program.out();
      try (LabRun run = new LabRun(played, program.launch(), folder)) {
        run.play().forEach((type, figures) -> out.println(text(type, figures)));
      }
      return tell(out, folder, Checks.judge(folder));
    }

    private static String text(String type, Clients.Figures figures) {
      Histogram served = figures.served();
      return String.format(
          "%-14s p50 %.1f ms, p99 %.1f ms, at most %.1f ms; %s",
          type,
          served.getValueAtPercentile(50) / 1e3,
          served.getValueAtPercentile(99) / 1e3,
          served.getMaxValue() / 1e3,
          figures.ended());
    }
  }

  @Command(
      name = "random",
      mixinStandardHelpOptions = true,
      description = "Plays a schedule with faults drawn from a seed; makes one that fails smaller.")
  static final class Drawn implements Callable<Integer> {
    @Parameters(paramLabel = "FILE.toml", description = "the parties and the load")
    private Path schedule;

    @Option(
        names = "--seed",
        required = true,
        description = "of the first round; each further one has the next")
    private long seed;

    @Option(
        names = "--rounds",
        defaultValue = "1",
        description = "how many (default: ${DEFAULT-VALUE})")
    private int rounds;

    @Option(
        names = "--faults",
        defaultValue = "6",
        description = "in each round (default: ${DEFAULT-VALUE})")
    private int faults;

    @Option(
        names = "--trials",
        defaultValue = "30",
        description = "plays at most to make a failing one smaller (default: ${DEFAULT-VALUE})")
    private int trials;

    @Mixin private Program program;
    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException, BadSchedule {
      PrintWriter out = spec.commandLine().getOut();
      RandomRuns runs =
          new RandomRuns(
              Schedule.read(schedule),
              program.launch(),
              program.out(),
              line -> {
                out.println(line);
                out.flush();
              });
      for (int i = 0; i < rounds; i++) {
        RandomRuns.Failure failure = runs.play(seed + i, faults, trials);
        if (failure != null) {
          out.println("smallest that failed: " + failure.faults() + " faults");
          return tell(out, failure.folder(), failure.findings());
        }
      }
      return 0;
    }
  }

  @Command(
      name = "check",
      mixinStandardHelpOptions = true,
      description = "Judges the records of a run.")
  static final class Check implements Callable<Integer> {
    @Parameters(paramLabel = "DIR")
    private Path folder;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
      return tell(spec.commandLine().getOut(), folder, Checks.judge(folder));
    }
  }

  private static int tell(PrintWriter out, Path folder, List<Finding> findings) {
    findings.stream().limit(MOST_SHOWN).forEach(out::println);
    out.println(
        findings.isEmpty()
            ? "nothing found in " + folder
            : findings.size() + " found in " + folder);
    out.flush();
    return findings.isEmpty() ? 0 : FOUND;
  }
}
