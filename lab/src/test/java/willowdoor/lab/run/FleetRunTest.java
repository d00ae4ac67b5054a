package willowdoor.lab.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import willowdoor.lab.check.Checks;
import willowdoor.lab.fleet.LaunchLine;
import willowdoor.lab.record.Entry;
import willowdoor.lab.record.RecordFile;

/** Three real front doors, one of which is killed under real requests. */
@Timeout(120)
class FleetRunTest {

  private static final String SCHEDULE =
      """
      name = "one of three is killed"
      seed = 3
      run_ms = 2500
      doors.count = 3
      servers = { count = 3, mean_ms = 5, width = 8 }
      load = { rate = 60, customers = 12, notice_ms = 500 }
      observe = [{ path = "/api/ready", every_ms = 100 }]
      steps = [{ at_ms = 800, action = "kill", targets = ["n1"] }]
      """;

  @TempDir private Path folder;

  @Test
  void theOthersGoOnAndLoseNothing() throws IOException, InterruptedException, BadSchedule {
    LaunchLine launch =
        LaunchLine.read(
            Path.of("../deploy/balancer.toml"), Path.of(System.getProperty("front.jar")));
    try (LabRun run = new LabRun(Schedule.parse(SCHEDULE), launch, folder)) {
      run.play();
    }
    assertEquals(List.of(), Checks.judge(folder));
    List<Entry> entries = new ArrayList<>();
    RecordFile.read(folder, entries::add);
    List<Entry.Life> lives = of(entries, Entry.Life.class);
    Entry.Life killed =
        lives.stream().filter(l -> l.how().equals("KILL")).findFirst().orElseThrow();
    assertEquals("n1", killed.door());
    assertEquals(3, lives.size());
    for (Entry.Life life : lives) {
      assertTrue(
          ProcessHandle.of(life.pid()).filter(ProcessHandle::isAlive).isEmpty(), "none is left");
    }
    List<Entry.Asked> served =
        of(entries, Entry.Asked.class).stream().filter(a -> a.status() == 200).toList();
    assertEquals(
        Set.of("n0", "n1", "n2"),
        served.stream().map(Entry.Asked::door).collect(Collectors.toSet()));
    assertTrue(served.stream().noneMatch(a -> a.door().equals("n1") && a.begin() > killed.end()));
    assertEquals(
        Set.of("n0", "n2"),
        served.stream()
            .filter(a -> a.begin() > killed.end())
            .map(Entry.Asked::door)
            .collect(Collectors.toSet()),
        "the others go on");
    assertEquals(
        Set.of(0, 200),
        of(entries, Entry.Seen.class).stream()
            .filter(s -> s.door().equals("n1"))
            .map(Entry.Seen::status)
            .collect(Collectors.toSet()),
        "seen there, then gone");
  }

  private static <T extends Entry> List<T> of(List<Entry> entries, Class<T> type) {
    return entries.stream().filter(type::isInstance).map(type::cast).toList();
  }
}
