package elmsail.app;

import elmsail.runtime.EarlyHangup;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.Settings;
import elmsail.runtime.SettingsFile;
import java.io.OutputStreamWriter;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.Charset;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * The command line of the applications: parses it, reads the settings and runs what it asks for.
 */
final class ApplicationLauncher {
  /** When the program's main began, of {@link System#nanoTime}. */
  static final long STARTED_AT_NANOS = System.nanoTime();

  private static final int HELP_WIDTH = 100;
  private static final int HELP_PADDING = 2;
  private static final String SETTINGS = "settings";
  private static final String CHECK = "check";
  private static final String HELP = "help";

  /** For the build alone and not part of the help: see {@link CdsTrainingRun}. */
  private static final String REHEARSE = "rehearse";

  private final Application application;
  private final PrintStream out;
  private final PrintStream err;

  ApplicationLauncher(Application application, PrintStream out, PrintStream err) {
    this.application = application;
    this.out = out;
    this.err = err;
  }

  /**
   * Runs to the end of the process and exits it, whatever other threads still do.
   *
   * @param args the command line
   */
  static void main(Application application, String[] args) {
    EarlyHangup.hold();
    LogProvider.choose();
    System.exit(new ApplicationLauncher(application, System.out, System.err).run(args).code());
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

  /** Does what the command line asks for; returns when the application has stopped. */
  ExitCode run(String... args) {
    boolean trainingRun = args.length == 1 && args[0].equals("--" + REHEARSE);
    CommandLine commandLine;
    try {
      commandLine = parse(trainingRun ? new String[0] : args);
    } catch (ParseException e) {
      return invalidUsage(e.getMessage() + "; see --" + HELP);
    }
    if (commandLine.hasOption(HELP)) {
      printHelp();
      return ExitCode.OK;
    }
    // Also in a training run, so that the classes that this loads are in the archive.
    String file =
        commandLine.getOptionValue(SETTINGS, System.getenv(SettingsFile.ENVIRONMENT_VARIABLE));
    if (trainingRun) {
      return CdsTrainingRun.run(application, err);
    }
    return runWithSettings(commandLine, file);
  }

  private static CommandLine parse(String... args) throws ParseException {
    CommandLine commandLine = new DefaultParser(false).parse(options(), args, false);
    if (!commandLine.getArgList().isEmpty()) {
      throw new ParseException("not an option: " + commandLine.getArgList().get(0));
    }
    return commandLine;
  }

  private ExitCode runWithSettings(CommandLine commandLine, String file) {
    if (file == null) {
      return invalidUsage(
          "no settings: give --" + SETTINGS + " or set " + SettingsFile.ENVIRONMENT_VARIABLE);
    }
    Settings settings;
    try {
      settings = SettingsFile.read(Path.of(file));
    } catch (ElmsailException e) {
      return invalidUsage(e.getMessage());
    }
    if (commandLine.hasOption(CHECK)) {
      out.println("the settings can be used");
      return ExitCode.OK;
    }
    return ApplicationRunner.run(application, Path.of(file), settings, (shutDown, loop) -> {});
  }

  private ExitCode invalidUsage(String reason) {
    err.println(application.name() + ": " + reason);
    return ExitCode.INVALID_USAGE;
  }

  private void printHelp() {
    PrintWriter text = new PrintWriter(new OutputStreamWriter(out, Charset.defaultCharset()), true);
    String usage =
        "java -cp target/elmsail.jar elmsail.app." + application.getClass().getSimpleName();
    String exitCodes =
        "Exit codes: "
            + ExitCode.OK.code()
            + " all went well, or ended by SIGTERM; "
            + ExitCode.FAILED.code()
            + " could not start; "
            + ExitCode.INVALID_USAGE.code()
            + " the command line or the settings cannot be used.";
    new HelpFormatter()
        .printHelp(
            text, HELP_WIDTH, usage, null, options(), HELP_PADDING, HELP_PADDING, exitCodes, true);
    text.flush();
  }
}
