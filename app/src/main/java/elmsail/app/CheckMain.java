package elmsail.app;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import elmsail.config.RoutingConfigReader;
import elmsail.runtime.ElmsailException;
import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
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
    CommandLine line;
    try {
      line = new DefaultParser(false).parse(options(), args, false);
      if (!line.getArgList().isEmpty()) {
        throw new ParseException("not an option: " + line.getArgList().get(0));
      }
      if (!line.hasOption(HELP) && line.hasOption(TIMETABLE) == line.hasOption(DATA)) {
        throw new ParseException("give one of --" + TIMETABLE + " and --" + DATA);
      }
    } catch (ParseException e) {
      err.println("check: " + e.getMessage() + "; see --" + HELP);
      return ExitCode.INVALID_USAGE;
    }
    if (line.hasOption(HELP)) {
      help();
      return ExitCode.OK;
    }
    try {
      return line.hasOption(DATA)
          ? data(Path.of(line.getOptionValue(DATA)), line.hasOption(JSON))
          : config(Path.of(line.getOptionValue(TIMETABLE)), line.hasOption(JSON));
    } catch (ElmsailException | IOException e) {
      err.println("check: " + (e instanceof IOException ? e.toString() : e.getMessage()));
      return ExitCode.FAILED;
    }
  }

  private ExitCode config(Path file, boolean json) throws IOException {
    byte[] bytes = Files.readAllBytes(file);
    List<String> faults = ConfigDiagnostics.of(bytes);
    long edition = faults.isEmpty() ? RoutingConfigReader.read(bytes).version() : 0;
    if (json) {
      json(
          to -> {
            to.writeStartObject();
            to.writeBooleanField("valid", faults.isEmpty());
            if (faults.isEmpty()) {
              to.writeNumberField("edition", edition);
            }
            to.writeArrayFieldStart("faults");
            for (String fault : faults) {
              to.writeString(fault);
            }
            to.writeEndArray();
            to.writeEndObject();
          });
    } else if (faults.isEmpty()) {
      out.println("edition " + edition + " is valid by itself");
    } else {
      faults.forEach(out::println);
    }
    return faults.isEmpty() ? ExitCode.OK : ExitCode.INVALID_USAGE;
  }

  private ExitCode data(Path folder, boolean json) throws IOException {
    DataDirectoryReport read = DataDirectoryReport.read(folder);
    if (json) {
      json(read::write);
    } else {
      read.print(out);
    }
    return ExitCode.OK;
  }

  /** The content of one JSON value. */
  private interface JsonContent {
    void to(JsonGenerator json) throws IOException;
  }

  private void json(JsonContent written) throws IOException {
    StringWriter text = new StringWriter();
    try (JsonGenerator to = new JsonFactory().createGenerator(text)) {
      written.to(to);
    }
    out.println(text);
  }

  private void help() {
    PrintWriter text = new PrintWriter(out, true);
    String codes =
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
            100,
            "java -cp target/elmsail.jar elmsail.app.CheckMain",
            null,
            options(),
            2,
            2,
            codes,
            true);
    text.flush();
  }
}
