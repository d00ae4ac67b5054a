package elmsail.app;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.NettyEventLoop;
import elmsail.runtime.Settings;
import elmsail.runtime.SettingsFile;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(60)
class ApplicationLauncherTest {

  private static final String MINIMAL_SETTINGS =
      "{\"station\":\"c\",\"serves\":[],\"ip\":\"127.0.0.1\",\"zone\":\"z\","
          + "\"inner_ports\":[7720,7735]}";

  @TempDir private Path folder;
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  /** Ends as soon as it is asked to, or cannot start. */
  private static final class Brief implements Application, Application.Instance {
    private final RuntimeException fault;
    private int ends;

    Brief(RuntimeException fault) {
      this.fault = fault;
    }

    @Override
    public String name() {
      return "brief";
    }

    @Override
    public Instance start(Settings settings, NettyEventLoop loop) {
      if (fault != null) {
        throw fault;
      }
      return this;
    }

    @Override
    public void onSettingsChanged(Settings settings) {
      throw new IllegalStateException("nothing changed");
    }

    @Override
    public void shutDown(Runnable ended) {
      ends++;
      ended.run();
    }
  }

  private ExitCode run(String... args) {
    return new ApplicationLauncher(
            new Brief(null),
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8))
        .run(args);
  }

  private String settings(String json) throws Exception {
    return Files.writeString(folder.resolve("settings.json"), json).toString();
  }

  private String errors() {
    return err.toString(StandardCharsets.UTF_8);
  }

  @Test
  void checkValidatesTheSettings() throws Exception {
    assertThat(run("--check", "--settings", settings(MINIMAL_SETTINGS)), is(ExitCode.OK));
    assertThat(errors(), is(""));
    assertThat(
        run("--settings", settings(MINIMAL_SETTINGS.replace("7735", "\"x\"")), "--check"),
        is(ExitCode.INVALID_USAGE));
    assertThat(errors(), containsString("inner_ports.1: expected a number"));
  }

  @Test
  void doesNotStartWithoutValidSettings() throws Exception {
    assertThat(run("--settings", folder.resolve("none").toString()), is(ExitCode.INVALID_USAGE));
    assertThat(errors(), containsString("cannot read"));
    assertThat(run("--settings", settings("{}")), is(ExitCode.INVALID_USAGE));
    assertThat(errors(), containsString(": is missing"));
  }

  @Test
  void rejectsUnknownCommandLines() throws Exception {
    assertThat(run("--speed", "3"), is(ExitCode.INVALID_USAGE));
    assertThat(errors(), containsString("--speed"));
    assertThat(run("--settings"), is(ExitCode.INVALID_USAGE));
    assertThat(run("--check", "more"), is(ExitCode.INVALID_USAGE));
    assertThat(run("--rehearse", "--check"), is(ExitCode.INVALID_USAGE));
  }

  @Test
  void helpListsOptionsAndExitCodes() {
    assertThat(run("--help"), is(ExitCode.OK));
    String help = out.toString(StandardCharsets.UTF_8);
    assertThat(help, containsString("--settings <FILE>"));
    assertThat(help, containsString("Exit codes"));
  }

  @Test
  void runsUntilItIsStopped() throws Exception {
    Path file = Path.of(settings(MINIMAL_SETTINGS));
    Brief program = new Brief(null);
    ExitCode code =
        ApplicationRunner.run(program, file, SettingsFile.read(file), (end, loop) -> end.run());
    assertThat(code, is(ExitCode.OK));
    assertThat(program.ends, is(1));
  }

  @Test
  void exitCodeTellsWhyItCouldNotStart() throws Exception {
    Path file = Path.of(settings(MINIMAL_SETTINGS));
    Settings settings = SettingsFile.read(file);
    assertThat(
        ApplicationRunner.run(
            new Brief(new ElmsailException(ErrorCode.INVALID_SETTINGS, "no such slot")),
            file,
            settings,
            (end, loop) -> end.run()),
        is(ExitCode.INVALID_USAGE));
    assertThat(
        ApplicationRunner.run(
            new Brief(new ElmsailException(ErrorCode.STORAGE_FAILURE, "full")),
            file,
            settings,
            (end, loop) -> end.run()),
        is(ExitCode.FAILED));
    assertThat(
        ApplicationRunner.run(
            new Brief(new IllegalStateException("ours")), file, settings, (end, loop) -> end.run()),
        is(ExitCode.FAILED));
  }

  @Test
  void trainingRunStartsAndStopsAnyApplication() {
    assertThat(run("--rehearse"), is(ExitCode.OK));
    assertThat(errors(), is(""));
  }
}
