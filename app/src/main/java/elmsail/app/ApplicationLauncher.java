package elmsail.app;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.NettyEventLoop;
import elmsail.runtime.ProcessSignals;
import elmsail.runtime.Settings;
import elmsail.runtime.SettingsFile;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The command line that the programs share, and what a program does from its settings to its end.
 */
final class ApplicationLauncher {

  /** All went well, or SIGTERM was heard and everything was brought to its end. */
  static final int OK = 0;

  /** It could not start, or a rehearsal failed. */
  static final int FAILED = 1;

  /** The command line or the settings cannot be used. */
  static final int INVALID_USAGE = 2;

  private static final long STARTED_AT_NANOS = System.nanoTime();
  private static final String SETTINGS = "settings";
  private static final String CHECK = "check";
  private static final String HELP = "help";

  /** For the build alone: see {@link CdsTrainingRun}. */
  private static final String REHEARSE = "rehearse";

  private final Application program;
  private final PrintStream out;
  private final PrintStream err;

  ApplicationLauncher(Application program, PrintStream out, PrintStream err) {
    this.program = program;
    this.out = out;
    this.err = err;
  }

  /**
   * Runs to the process's end, and exits: nothing that still waits on another thread holds that up.
   */
  static void main(Application program, String[] args) {
    LogProvider.choose();
    System.exit(new ApplicationLauncher(program, System.out, System.err).run(args));
  }

  private static Options options() {
    return new Options()
        .addOption(
            Option.builder()
                .longOpt(SETTINGS)
                .hasArg()
                .argName("FILE")
                .desc(
                    "the settings, JSON; by default the file that "
                        + SettingsFile.ENVIRONMENT_VARIABLE
                        + " names")
                .build())
        .addOption(
            Option.builder()
                .longOpt(CHECK)
                .desc("check the settings, print their fault, end")
                .build())
        .addOption(Option.builder().longOpt(HELP).desc("print this").build());
  }

  /**
   * @return the exit code
   */
  int run(String... args) {
    CommandLine commandLine;
    boolean rehearse = args.length == 1 && args[0].equals("--" + REHEARSE);
    try {
      commandLine =
          new DefaultParser(false).parse(options(), rehearse ? new String[0] : args, false);
      if (!commandLine.getArgList().isEmpty()) {
        throw new ParseException("not an option: " + commandLine.getArgList().get(0));
      }
    } catch (ParseException e) {
      err.println(program.name() + ": " + e.getMessage() + "; see --" + HELP);
      return INVALID_USAGE;
    }
    if (commandLine.hasOption(HELP)) {
      help();
      return OK;
    }
    String file =
        commandLine.getOptionValue(SETTINGS, System.getenv(SettingsFile.ENVIRONMENT_VARIABLE));
    if (rehearse) {
      return CdsTrainingRun.run(program, err);
    }
    if (file == null) {
      err.println(
          program.name()
              + ": no settings: give --"
              + SETTINGS
              + " or set "
              + SettingsFile.ENVIRONMENT_VARIABLE);
      return INVALID_USAGE;
    }
    Settings settings;
    try {
      settings = SettingsFile.read(Path.of(file));
    } catch (ElmsailException e) {
      err.println(program.name() + ": " + e.getMessage());
      return INVALID_USAGE;
    }
    if (commandLine.hasOption(CHECK)) {
      out.println("the settings can be used");
      return OK;
    }
    return runUntilStopped(Path.of(file), settings);
  }

  private int runUntilStopped(Path file, Settings settings) {
    return runUntilStopped(program, file, settings, (end, loop) -> {});
  }

  /**
   * What is done with a program that has started; on the loop. Running {@code end} is as a SIGTERM.
   */
  @FunctionalInterface
  interface StartListener {
    void with(Runnable end, NettyEventLoop loop);
  }

  static int runUntilStopped(
      Application program, Path file, Settings settings, StartListener started) {
    Logger log = LoggerFactory.getLogger("elmsail." + program.name());
    NettyEventLoop loop = new NettyEventLoop();
    CompletableFuture<Void> ended = new CompletableFuture<>();
    loop.execute(
        () -> {
          try {
            // The signals first: SIGHUP would end the process until a handler is set.
            SignalTarget held = new SignalTarget(ended);
            new ProcessSignals(loop, file, settings, held::end, held::onSettingsChanged).start();
            held.running = program.start(settings, loop);
            log.info(
                "started, {} ms after its main began",
                (System.nanoTime() - STARTED_AT_NANOS) / 1_000_000);
            started.with(held::end, loop);
          } catch (RuntimeException e) {
            ended.completeExceptionally(e);
          }
        });
    try {
      ended.join();
      log.info("ended");
      return OK;
    } catch (CompletionException e) {
      log.error("could not start", e.getCause());
      return ElmsailException.codeOf(e) == ErrorCode.INVALID_SETTINGS ? INVALID_USAGE : FAILED;
    } finally {
      loop.shutdown().awaitUninterruptibly(1_000);
    }
  }

  /** Signals come on the loop, so only behind the program's start. */
  private static final class SignalTarget {
    private final CompletableFuture<Void> ended;
    private Application.Instance running;

    SignalTarget(CompletableFuture<Void> ended) {
      this.ended = ended;
    }

    void end() {
      running.shutDown(() -> ended.complete(null));
    }

    void onSettingsChanged(Settings settings) {
      running.onSettingsChanged(settings);
    }
  }

  /**
   * An address that can't be had, or another fault behind the start: ends the process, from any
   * thread.
   */
  static Void exitAfterFailure(Throwable failure) {
    LoggerFactory.getLogger(ApplicationLauncher.class).error("could not start", failure);
    int code =
        ElmsailException.codeOf(failure) == ErrorCode.INVALID_SETTINGS ? INVALID_USAGE : FAILED;
    new Thread(() -> System.exit(code), "exit").start();
    return null;
  }

  private void help() {
    PrintWriter text = new PrintWriter(out, true);
    HelpFormatter form = new HelpFormatter();
    String start = "java -cp target/elmsail.jar elmsail.app." + program.getClass().getSimpleName();
    String codes =
        "Exit codes: "
            + OK
            + " all went well, or ended by SIGTERM; "
            + FAILED
            + " could not start; "
            + INVALID_USAGE
            + " the command line or the settings cannot be used.";
    form.printHelp(text, 100, start, null, options(), 2, 2, codes, true);
    text.flush();
  }
}
