package elmsail.app;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import elmsail.config.RoutingConfigReader;
import elmsail.runtime.ElmsailException;
import java.io.IOException;
import java.io.OutputStreamWriter;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.Charset;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** An offline tool: validates a configuration, or prints what a data directory holds. */
public final class CheckMain {
  private static final String TIMETABLE = "timetable";
  private static final String DATA = "data";
  private static final String JSON = "json";
  private static final String HELP = "help";
  private static final int HELP_WIDTH = 100;
  private static final int HELP_PADDING = 2;

  private final PrintStream out;
  private final PrintStream err;

  CheckMain(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /** Runs the tool and exits with a code of {@link ExitCode}. */
  public static void main(String[] args) {
    LogProvider.choose();
    System.exit(new CheckMain(System.out, System.err).run(args).code());
  }

  private static Options options() {
    return new Options()
        .addOption(
            Option.builder()
                .longOpt(TIMETABLE)
                .hasArg()
                .argName("FILE")
                .desc("a configuration: print its faults, each with its path")
                .build())
        .addOption(
            Option.builder()
                .longOpt(DATA)
                .hasArg()
                .argName("DIR")
                .desc("a data folder: print what it holds; it is read in a copy")
                .build())
        .addOption(Option.builder().longOpt(JSON).desc("print JSON").build())
        .addOption(Option.builder().longOpt(HELP).desc("print this").build());
  }

  /** Does what the command line asks for. */
  ExitCode run(String... args) {
    CommandLine commandLine;
    try {
      commandLine = parse(args);
    } catch (ParseException e) {
      err.println("check: " + e.getMessage() + "; see --" + HELP);
      return ExitCode.INVALID_USAGE;
    }
    if (commandLine.hasOption(HELP)) {
      printHelp();
      return ExitCode.OK;
    }
    boolean json = commandLine.hasOption(JSON);
    try {
      return commandLine.hasOption(DATA)
          ? checkData(Path.of(commandLine.getOptionValue(DATA)), json)
          : checkConfig(Path.of(commandLine.getOptionValue(TIMETABLE)), json);
    } catch (ElmsailException e) {
      err.println("check: " + e.getMessage());
    } catch (IOException e) {
      err.println("check: " + e);
    }
    return ExitCode.FAILED;
  }

  private static CommandLine parse(String... args) throws ParseException {
    CommandLine commandLine = new DefaultParser(false).parse(options(), args, false);
    if (!commandLine.getArgList().isEmpty()) {
      throw new ParseException("not an option: " + commandLine.getArgList().get(0));
    }
    if (!commandLine.hasOption(HELP)
        && commandLine.hasOption(TIMETABLE) == commandLine.hasOption(DATA)) {
      throw new ParseException("give one of --" + TIMETABLE + " and --" + DATA);
    }
    return commandLine;
  }

  private ExitCode checkConfig(Path file, boolean json) throws IOException {
    byte[] bytes = Files.readAllBytes(file);
    List<String> faults = ConfigDiagnostics.of(bytes);
    long version = faults.isEmpty() ? RoutingConfigReader.read(bytes).version() : 0;
    if (json) {
      printJson(generator -> writeResult(generator, version, faults));
    } else if (faults.isEmpty()) {
      out.println("edition " + version + " is valid by itself");
    } else {
      faults.forEach(out::println);
    }
    return faults.isEmpty() ? ExitCode.OK : ExitCode.INVALID_USAGE;
  }

  private static void writeResult(JsonGenerator generator, long version, List<String> faults)
      throws IOException {
    generator.writeStartObject();
    generator.writeBooleanField("valid", faults.isEmpty());
    if (faults.isEmpty()) {
      generator.writeNumberField("edition", version);
    }
    generator.writeArrayFieldStart("faults");
    for (String fault : faults) {
      generator.writeString(fault);
    }
    generator.writeEndArray();
    generator.writeEndObject();
  }

  private ExitCode checkData(Path directory, boolean json) throws IOException {
    DataDirectoryReport report = DataDirectoryReport.read(directory);
    if (json) {
      printJson(report::write);
    } else {
      report.print(out);
    }
    return ExitCode.OK;
  }

  /** The content of one JSON value. */
  private interface JsonContent {
    void writeTo(JsonGenerator generator) throws IOException;
  }

  private void printJson(JsonContent content) throws IOException {
    StringWriter text = new StringWriter();
    try (JsonGenerator generator = new JsonFactory().createGenerator(text)) {
      content.writeTo(generator);
    }
    out.println(text);
  }

  private void printHelp() {
    PrintWriter text = new PrintWriter(new OutputStreamWriter(out, Charset.defaultCharset()), true);
    String exitCodes =
        "Exit codes: "
            + ExitCode.OK.code()
            + " read, and the configuration is valid; "
            + ExitCode.FAILED.code()
            + " the file or folder cannot be read; "
            + ExitCode.INVALID_USAGE.code()
            + " the configuration is invalid, or the command line cannot be used.";
    new HelpFormatter()
        .printHelp(
            text,
            HELP_WIDTH,
            "java -cp target/elmsail.jar elmsail.app.CheckMain",
            null,
            options(),
            HELP_PADDING,
            HELP_PADDING,
            exitCodes,
            true);
    text.flush();
  }
}
