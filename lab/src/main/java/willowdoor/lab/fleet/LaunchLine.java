package willowdoor.lab.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** The command that starts a front door: {@code run} of the deployment's file, with another jar. */
public final class LaunchLine {

  private static final String ARCHIVE = "-XX:SharedArchiveFile=";
  private static final String TEMPORARY = "-Djava.io.tmpdir=";

  private final List<String> flags;
  private final Path jar;
  private final List<String> words;

  private LaunchLine(List<String> flags, Path jar, List<String> words) {
    this.flags = flags;
    this.jar = jar;
    this.words = words;
  }

  /** Takes the runtime's flags from the file; the class archive is that beside the jar, if any. */
  public static LaunchLine read(Path deploy, Path jar) throws IOException {
    if (!Files.isRegularFile(jar)) {
      throw new IOException("there is no jar " + jar + ": build it, or name another with --jar");
    }
    JsonNode run = new TomlMapper().readTree(Files.readString(deploy)).path("run");
    List<String> line = Arrays.asList(run.asText().trim().split("\\s+"));
    int java = line.indexOf("java");
    int at = line.indexOf("-jar");
    if (java < 0 || at < java || at + 2 > line.size()) {
      throw new IOException(deploy + ": run is not a line 'java FLAGS -jar JAR WORDS'");
    }
    List<String> flags = new ArrayList<>(line.subList(java + 1, at));
    flags.removeIf(f -> f.startsWith(ARCHIVE) || f.startsWith(TEMPORARY));
    Path whole = jar.toAbsolutePath().normalize();
    Path archive =
        whole.resolveSibling(whole.getFileName().toString().replaceAll("\\.jar$", ".jsa"));
    if (Files.isRegularFile(archive)) {
      flags.add(ARCHIVE + archive);
    }
    return new LaunchLine(flags, whole, List.copyOf(line.subList(at + 2, line.size())));
  }

  /** The words of the command, for a process with that folder for its temporary files. */
  List<String> command(Path temporary, List<String> further) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(flags);
    command.add(TEMPORARY + temporary);
    command.addAll(further);
    command.add("-jar");
    command.add(jar.toString());
    command.addAll(words);
    return command;
  }
}
