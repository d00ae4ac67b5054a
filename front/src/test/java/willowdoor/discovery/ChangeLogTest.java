package willowdoor.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import willowdoor.discovery.Entry.State;

/**
 * The list on disk when the process ends at any step, when disk writes fail, and when files are
 * damaged.
 */
@Timeout(60)
class ChangeLogTest {

  @TempDir private Path dir;

  private static Entry active(int n) {
    return HostListTest.entry("s-" + n, State.ACTIVE, n);
  }

  private HostList reopened() throws IOException {
    try (ChangeLog log = new ChangeLog(dir)) {
      return log.list();
    }
  }

  private void write(int changes) throws IOException {
    try (ChangeLog log = new ChangeLog(dir)) {
      for (int i = 0; i < changes; i++) {
        log.append(List.of(active(i)));
      }
    }
  }

  @Test
  void appendedChangesAreRecovered() throws IOException {
    write(3);
    HostList list = reopened();
    assertEquals(3, list.version());
    assertEquals(List.of(active(0), active(1), active(2)), list.present());
    assertEquals(List.of(active(2)), list.since(2).orElseThrow());
  }

  /**
   * The process is ended at every step, repeatedly on the same folder: no published version is lost
   * or published with two contents.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "append",
        "sync",
        "synced",
        "snapshot",
        "snapshot written",
        "snapshot synced",
        "snapshot in place",
        "log begun",
        "log in place"
      })
  void processEndingAtAnyStepLosesNoPublishedVersion(String step) throws Exception {
    Map<String, String> contents = new HashMap<>();
    for (int passes : new int[] {0, 1, 3}) {
      Process process =
          new ProcessBuilder(
                  System.getProperty("java.home") + "/bin/java",
                  "-Xshare:auto",
                  "-XX:TieredStopAtLevel=1",
                  "-cp",
                  System.getProperty("java.class.path"),
                  LogWriter.class.getName(),
                  dir.toString(),
                  step,
                  Integer.toString(passes))
              .redirectError(ProcessBuilder.Redirect.INHERIT)
              .start();
      String last = "0";
      try {
        for (String line : process.inputReader().lines().toList()) {
          compare(contents, line);
          last = line.split(" ")[0];
        }
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(9, process.exitValue());
      } finally {
        process.destroyForcibly();
      }
      HostList found = reopened();
      compare(contents, LogWriter.told(found));
      assertTrue(found.version() >= Long.parseLong(last), found.version() + " after " + last);
    }
  }

  private static void compare(Map<String, String> contents, String told) {
    String[] parts = told.split(" ");
    assertEquals(
        contents.computeIfAbsent(parts[0], v -> parts[1]), parts[1], "version " + parts[0]);
  }

  /**
   * A last line truncated at any position is dropped, and its version is not used for a different
   * change.
   */
  @Test
  void truncatedLastLineIsDropped() throws IOException {
    write(2);
    byte[] two = Files.readAllBytes(dir.resolve("log"));
    try (ChangeLog log = new ChangeLog(dir)) {
      log.append(List.of(active(2)));
    }
    byte[] three = Files.readAllBytes(dir.resolve("log"));
    for (int length = two.length + 1; length < three.length; length++) {
      Files.deleteIfExists(dir.resolve("snapshot"));
      Files.write(dir.resolve("log"), Arrays.copyOf(three, length));
      HostList list = reopened();
      assertEquals(List.of(active(0), active(1)), list.present());
      assertEquals(4, list.version(), "version 3 may have been told");
      assertTrue(list.since(3).isEmpty());
      assertEquals(4, reopened().version());
    }
  }

  @Test
  void damagedEarlierLineFailsTheStart() throws IOException {
    write(3);
    byte[] lines = Files.readAllBytes(dir.resolve("log"));
    for (int at : new int[] {0, 8, 20, 60}) {
      byte[] damaged = lines.clone();
      damaged[at] ^= 1;
      Files.write(dir.resolve("log"), damaged);
      IOException e = assertThrows(IOException.class, this::reopened);
      assertTrue(e.getMessage().contains("damaged in line 1"), e.getMessage());
    }
    Files.write(dir.resolve("log"), lines);
    assertEquals(3, reopened().version());
  }

  @Test
  void missingLineFailsTheStart() throws IOException {
    write(3);
    List<String> lines = Files.readAllLines(dir.resolve("log"));
    Files.write(dir.resolve("log"), List.of(lines.get(0), lines.get(2)));
    IOException e = assertThrows(IOException.class, this::reopened);
    assertTrue(e.getMessage().contains("damaged in line 2"), e.getMessage());
  }

  @Test
  void damagedSnapshotFailsTheStart() throws IOException {
    try (ChangeLog log = new ChangeLog(dir, 10)) {
      log.append(List.of(active(1)));
    }
    Path snapshot = dir.resolve("snapshot");
    byte[] whole = Files.readAllBytes(snapshot);
    assertEquals(1, reopened().version());
    for (int length : new int[] {1, 20, whole.length - 1}) {
      Files.write(snapshot, Arrays.copyOf(whole, length));
      IOException e = assertThrows(IOException.class, this::reopened);
      assertTrue(e.getMessage().contains("snapshot is damaged"), e.getMessage());
    }
  }

  @Test
  void folderIsLockedByOneProcess() throws IOException {
    try (ChangeLog log = new ChangeLog(dir)) {
      log.append(List.of(active(1)));
      assertThrows(Exception.class, this::reopened);
    }
    assertEquals(1, reopened().version());
  }

  /**
   * A write fails at one step: that change is rejected, later changes are accepted, and no version
   * has two meanings.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "append",
        "sync",
        "snapshot",
        "snapshot written",
        "snapshot synced",
        "snapshot in place",
        "log begun",
        "log in place"
      })
  void laterChangesSucceedAfterAFailedWrite(String failing) throws IOException {
    boolean[] fails = {false};
    HostList before;
    HostList after;
    try (ChangeLog log =
        new ChangeLog(dir, 200) {
          @Override
          void step(String name) throws IOException {
            if (fails[0] && name.equals(failing)) {
              throw new IOException("No space left on device");
            }
          }
        }) {
      before = log.append(List.of(active(1)));
      fails[0] = true;
      boolean refused = false;
      for (int i = 2; i < 6 && !refused; i++) {
        try {
          before = log.append(List.of(active(i)));
        } catch (IOException e) {
          refused = true;
        }
        assertEquals(before.version(), log.list().version());
        assertEquals(before.present(), log.list().present());
      }
      assertTrue(refused);
      fails[0] = false;
      after = log.append(List.of(active(9)));
    }
    assertTrue(
        after.version() > before.version() + 1, "the version that failed may be on the disk");
    assertEquals(active(9), after.entry("s-9"));
    HostList found = reopened();
    assertEquals(after.version(), found.version());
    assertEquals(after.present(), found.present());
  }

  /** Snapshots limit the size of a log with many changes, and recovery reads what remains. */
  @Test
  void manyChangesAreRecoveredFromTheLogAndFromASnapshot() throws IOException {
    StringBuilder lines = new StringBuilder();
    int changes = 100_000;
    Path many = Files.createDirectory(dir.resolve("many"));
    for (int i = 1; i <= changes; i++) {
      lines.append(
          ChangeLog.line(
              new ListJson.Message(
                  i, false, List.of(HostListTest.entry("s-" + i % 200, State.ACTIVE, i)))));
    }
    Files.writeString(
        many.resolve("log"), lines, StandardCharsets.UTF_8, StandardOpenOption.CREATE);
    long from = System.nanoTime();
    HostList byLog;
    try (ChangeLog log = new ChangeLog(many)) {
      byLog = log.list();
      log.append(List.of(active(1)));
    }
    long replayed = System.nanoTime() - from;
    assertTrue(Files.size(many.resolve("log")) < 1 << 20);
    from = System.nanoTime();
    HostList bySnapshot;
    try (ChangeLog log = new ChangeLog(many)) {
      bySnapshot = log.list();
    }
    System.out.printf(
        "recovery of %,d changes: %.0f ms by the log, %.1f ms by a snapshot%n",
        changes, replayed / 1e6, (System.nanoTime() - from) / 1e6);
    assertEquals(changes, byLog.version());
    assertEquals(changes + 1, bySnapshot.version());
    assertEquals(200, bySnapshot.present().size());
  }
}
