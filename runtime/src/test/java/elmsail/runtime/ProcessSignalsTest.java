package elmsail.runtime;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ProcessSignalsTest {

  @TempDir private Path folder;
  private final ManualTimers clock = new ManualTimers();
  private final List<Integer> borne = new ArrayList<>();
  private int terms;
  private Path file;
  private ProcessSignals ends;

  @BeforeEach
  void begin() throws Exception {
    file = folder.resolve("settings.json");
    write(1, 1_000);
    ends =
        new ProcessSignals(
                clock,
                file,
                SettingsFile.read(file),
                () -> terms++,
                s -> borne.add(s.toleratedMachineLosses()))
            .start();
  }

  private void write(int bear, long at) throws Exception {
    Files.writeString(file, SettingsFileTest.with("\"bear_losses\":{\"machines\":" + bear + "}"));
    Files.setLastModifiedTime(file, FileTime.fromMillis(at));
  }

  @Test
  void notifiesOfAChangedFileWithoutASignal() throws Exception {
    clock.advance(10_000);
    assertThat(borne, empty());
    write(2, 2_000);
    clock.advance(2_000);
    assertThat(borne, contains(2));
    write(2, 3_000);
    clock.advance(10_000);
    assertThat(borne, contains(2));
  }

  @Test
  void reloadNotifiesAtOnceAndOnlyOnce() throws Exception {
    write(3, 1_000);
    ends.reload();
    ends.reload();
    assertThat(borne, contains(3));
  }

  @Test
  void keepsTheSettingsWhileTheFileIsInvalidAndReadsItOnceItIsValid() throws Exception {
    Files.writeString(file, "{\"station\":");
    Files.setLastModifiedTime(file, FileTime.fromMillis(2_000));
    clock.advance(2_000);
    ends.reload();
    assertThat(borne, empty());
    write(2, 2_000);
    clock.advance(2_000);
    assertThat(borne, contains(2));
    Files.delete(file);
    ends.reload();
    clock.advance(10_000);
    write(4, 2_000);
    clock.advance(2_000);
    assertThat(borne, contains(2, 4));
  }

  @Test
  void terminatesOnce() {
    ends.onTerminate();
    ends.onTerminate();
    assertThat(terms, is(1));
  }
}
