package elmsail.app;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * An archive of class data that was not written whole is never left where the programs look for it:
 * the runtime crashes on such a one. Runs the function of `deploy/system.sh` with a stand-in for
 * the runtime.
 */
class ArchiveBuildTest {

  private static final int KILLED = 137;

  @TempDir private Path folder;

  private static Path script() {
    Path root = Path.of("").toAbsolutePath();
    while (!Files.exists(root.resolve("deploy/system.sh"))) {
      root = root.getParent();
    }
    return root.resolve("deploy/system.sh");
  }

  /** Runs `archive` with a runtime that writes part of an archive and exits so. */
  private void archive(int runtimeExits) throws IOException, InterruptedException {
    String script = Files.readString(script());
    int begin = script.indexOf("archive() {");
    String function = script.substring(begin, script.indexOf("\n}\n", begin) + 3);
    Files.createDirectories(folder.resolve("target"));
    Path runtime = Files.createDirectories(folder.resolve("bin")).resolve("java");
    Files.writeString(
        runtime,
        "#!/bin/sh\n"
            + "for a in \"$@\"; do\n"
            + "  case $a in -XX:ArchiveClassesAtExit=*) echo part > \"${a#*=}\" ;; esac\n"
            + "done\n"
            + "exit "
            + runtimeExits
            + "\n");
    assertThat(runtime.toFile().setExecutable(true), is(true));
    ProcessBuilder shell =
        new ProcessBuilder("sh", "-c", "set -e\n" + function + "archive program Main\n")
            .directory(folder.toFile())
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("output").toFile());
    shell.environment().merge("PATH", folder.resolve("bin") + ":", (path, bin) -> bin + path);
    assertThat(shell.start().waitFor(), is(0));
  }

  private boolean left(String name) {
    return Files.exists(folder.resolve("target").resolve(name));
  }

  @Test
  void keepsACompleteArchive() throws IOException, InterruptedException {
    archive(0);
    assertThat(left("program.jsa"), is(true));
    assertThat(left("program.jsa.part"), is(false));
  }

  @Test
  void removesATruncatedArchive() throws IOException, InterruptedException {
    archive(KILLED);
    assertThat(left("program.jsa"), is(false));
    assertThat(left("program.jsa.part"), is(false));
  }
}
