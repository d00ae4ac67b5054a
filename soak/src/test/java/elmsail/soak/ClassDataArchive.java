package elmsail.soak;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.spi.ToolProvider;

/**
 * An archive of the class data that a program loads at its start, as production's processes have
 * one: a process that was killed is then back while calls to it are still being retried. Archives
 * hold no classes of directories, so these are put into jars. Each is made once and kept as long as
 * this virtual machine runs.
 */
final class ClassDataArchive {
  private static final long DUMP_TIMEOUT_S = 120;
  private static final Map<String, ClassDataArchive> ARCHIVES = new HashMap<>();
  private static final Map<String, Path> JARS = new HashMap<>();

  private final String classPath;
  private final Path file;

  private ClassDataArchive(String classPath, Path file) {
    this.classPath = classPath;
    this.file = file;
  }

  /**
   * The archive of a program.
   *
   * @param java the command that starts a virtual machine, with its flags
   */
  static synchronized ClassDataArchive of(List<String> java, String classPath, String program)
      throws IOException {
    String key = program + " " + classPath;
    ClassDataArchive archive = ARCHIVES.get(key);
    if (archive == null) {
      archive = dump(java, classPathOfJars(classPath), program);
      ARCHIVES.put(key, archive);
    }
    return archive;
  }

  /** The class path to start the program with; it has the classes of the one that was given. */
  String classPath() {
    return classPath;
  }

  /** The option that names the archive. */
  String option() {
    return "-XX:SharedArchiveFile=" + file;
  }

  private static String classPathOfJars(String classPath) throws IOException {
    List<String> jars = new ArrayList<>();
    for (String entry : classPath.split(File.pathSeparator)) {
      Path path = Path.of(entry);
      if (Files.isRegularFile(path)) {
        jars.add(entry);
      } else if (Files.isDirectory(path)) {
        jars.add(jarOf(path).toString());
      }
    }
    return String.join(File.pathSeparator, jars);
  }

  private static Path jarOf(Path directory) throws IOException {
    Path jar = JARS.get(directory.toString());
    if (jar == null) {
      jar = temporaryFile(".jar");
      String[] arguments = {
        "--create", "--no-manifest", "--file", jar.toString(), "-C", directory.toString(), "."
      };
      int status =
          ToolProvider.findFirst("jar").orElseThrow().run(System.out, System.err, arguments);
      if (status != 0) {
        throw new IOException("no jar of " + directory);
      }
      JARS.put(directory.toString(), jar);
    }
    return jar;
  }

  private static ClassDataArchive dump(List<String> java, String classPath, String program)
      throws IOException {
    Path file = temporaryFile(".jsa");
    List<String> command = new ArrayList<>(java);
    command.add("-XX:ArchiveClassesAtExit=" + file);
    command.addAll(List.of("-cp", classPath, program, "--rehearse"));
    Process dumping =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
    try {
      if (!dumping.waitFor(DUMP_TIMEOUT_S, TimeUnit.SECONDS) || !Files.exists(file)) {
        dumping.destroyForcibly();
        throw new IOException("no class data of " + program);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
    return new ClassDataArchive(classPath, file);
  }

  /** A name of a file that does not exist yet, which is removed at the end. */
  private static Path temporaryFile(String suffix) throws IOException {
    Path file = Files.createTempFile("soak", suffix);
    Files.delete(file);
    file.toFile().deleteOnExit();
    return file;
  }
}
