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
final class Launch {

  /** All went well, or SIGTERM was heard and everything was brought to its end. */
  static final int DONE = 0;

  /** It could not start, or a rehearsal failed. */
  static final int FAILED = 1;

  /** The command line or the settings cannot be used. */
  static final int UNUSABLE = 2;

  private static final long BEGAN = System.nanoTime();
  private static final String SETTINGS = "settings";
  private static final String CHECK = "check";
  private static final String HELP = "help";

  /** For the build alone: see {@link StartupRehearsal}. */
  private static final String REHEARSE = "rehearse";

  private final Program program;
  private final PrintStream out;
  private final PrintStream err;

  Launch(Program program, PrintStream out, PrintStream err) {
    this.program = program;
    this.out = out;
    this.err = err;
  }

  /**
   * Runs to the process's end, and exits: nothing that still waits on another thread holds that up.
   */
  static void main(Program program, String[] args) {
    LogProvider.choose();
    System.exit(new Launch(program, System.out, System.err).run(args));
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
    CommandLine line;
    boolean rehearse = args.length == 1 && args[0].equals("--" + REHEARSE);
    try {
      line = new DefaultParser(false).parse(options(), rehearse ? new String[0] : args, false);
      if (!line.getArgList().isEmpty()) {
        throw new ParseException("not an option: " + line.getArgList().get(0));
      }
    } catch (ParseException e) {
      err.println(program.name() + ": " + e.getMessage() + "; see --" + HELP);
      return UNUSABLE;
    }
    if (line.hasOption(HELP)) {
      help();
      return DONE;
    }
    String file = line.getOptionValue(SETTINGS, System.getenv(SettingsFile.ENVIRONMENT_VARIABLE));
    if (rehearse) {
      return StartupRehearsal.run(program, err);
    }
    if (file == null) {
      err.println(
          program.name()
              + ": no settings: give --"
              + SETTINGS
              + " or set "
              + SettingsFile.ENVIRONMENT_VARIABLE);
      return UNUSABLE;
    }
    Settings settings;
    try {
      settings = SettingsFile.read(Path.of(file));
    } catch (ElmsailException e) {
      err.println(program.name() + ": " + e.getMessage());
      return UNUSABLE;
    }
    if (line.hasOption(CHECK)) {
      out.println("the settings can be used");
      return DONE;
    }
    return live(Path.of(file), settings);
  }

  private int live(Path file, Settings settings) {
    return live(program, file, settings, (end, loop) -> {});
  }

  /**
   * What is done with a program that has started; on the loop. Running {@code end} is as a SIGTERM.
   */
  @FunctionalInterface
  interface Started {
    void with(Runnable end, NettyEventLoop loop);
  }

  static int live(Program program, Path file, Settings settings, Started started) {
    Logger log = LoggerFactory.getLogger("elmsail." + program.name());
    NettyEventLoop loop = new NettyEventLoop();
    CompletableFuture<Void> ended = new CompletableFuture<>();
    loop.execute(
        () -> {
          try {
            // The signals first: SIGHUP would end the process until a handler is set.
            Held held = new Held(ended);
            new ProcessSignals(loop, file, settings, held::end, held::changed).start();
            held.running = program.start(settings, loop);
            log.info(
                "started, {} ms after its main began", (System.nanoTime() - BEGAN) / 1_000_000);
            started.with(held::end, loop);
          } catch (RuntimeException e) {
            ended.completeExceptionally(e);
          }
        });
    try {
      ended.join();
      log.info("ended");
      return DONE;
    } catch (CompletionException e) {
      log.error("could not start", e.getCause());
      return ElmsailException.codeOf(e) == ErrorCode.INVALID_SETTINGS ? UNUSABLE : FAILED;
    } finally {
      loop.shutdown().awaitUninterruptibly(1_000);
    }
  }

  /** Signals come on the loop, so only behind the program's start. */
  private static final class Held {
    private final CompletableFuture<Void> ended;
    private Program.Running running;

    Held(CompletableFuture<Void> ended) {
      this.ended = ended;
    }

    void end() {
      running.end(() -> ended.complete(null));
    }

    void changed(Settings settings) {
      running.changed(settings);
    }
  }

  /**
   * An address that can't be had, or another fault behind the start: ends the process, from any
   * thread.
   */
  static Void fatal(Throwable fault) {
    LoggerFactory.getLogger(Launch.class).error("could not start", fault);
    int code = ElmsailException.codeOf(fault) == ErrorCode.INVALID_SETTINGS ? UNUSABLE : FAILED;
    new Thread(() -> System.exit(code), "exit").start();
    return null;
  }

  private void help() {
    PrintWriter text = new PrintWriter(out, true);
    HelpFormatter form = new HelpFormatter();
    String start = "java -cp target/elmsail.jar elmsail.app." + program.getClass().getSimpleName();
    String codes =
        "Exit codes: "
            + DONE
            + " all went well, or ended by SIGTERM; "
            + FAILED
            + " could not start; "
            + UNUSABLE
            + " the command line or the settings cannot be used.";
    form.printHelp(text, 100, start, null, options(), 2, 2, codes, true);
    text.flush();
  }
}
