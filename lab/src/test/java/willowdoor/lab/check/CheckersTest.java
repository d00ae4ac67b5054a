package willowdoor.lab.check;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import willowdoor.lab.record.Entry;
import willowdoor.lab.record.LabClock;
import willowdoor.lab.record.Recorder;

/**
 * Each checker is quiet about a run as it should be, and tells each record that should not be
 * there.
 */
class CheckersTest {

  private static final String SETTINGS =
      """
      {"Profiles":[{"Name":"seal","Repeat":"side_effect"},{"Name":"preview","Repeat":"pure"}],
       "Rules":{"DrainGraceMs":1000},
       "Tariffs":[{"Name":"plain","Refill":2,"PeakUnits":10},
        {"Name":"hard","Refill":1000,"PeakUnits":1000,"CeilingRate":1,"CeilingBurst":5,"HardSlack":2}]}""";

  @TempDir private Path folder;

  private static Entry.Run run(double leastServed) throws IOException {
    JsonNode settings = new ObjectMapper().readTree(SETTINGS);
    return new Entry.Run(
        0,
        0,
        "made up",
        1,
        0,
        List.of("n0"),
        settings,
        Map.of("grace_ms", 500.0, "quota_beyond", 0.2, "least_served", leastServed));
  }

  private static Entry.Asked asked(
      String id, String type, long beginMs, long endMs, int status, String how) {
    return new Entry.Asked(
        1_000 * beginMs,
        1_000 * endMs,
        id,
        type,
        "plain",
        "c",
        1,
        200,
        "n0",
        true,
        status,
        how,
        status == 200 ? id + " s-1 0" : "",
        0);
  }

  private static Entry.Attempt attempt(String id, String server, long beginMs, String how) {
    return new Entry.Attempt(
        1_000 * beginMs,
        1_000 * beginMs + 5_000,
        id,
        server,
        how.equals("not_started") ? 0 : 1_000 * beginMs,
        how,
        how.equals("served") ? id + " s-1 0" : null);
  }

  /** What is found in the records of a good run and these, written and read as a run does it. */
  private List<String> found(Entry... further) throws IOException {
    Path own = Files.createTempDirectory(folder, "run");
    try (Recorder records = new Recorder(new LabClock(), own)) {
      records.write(run(0.01));
      records.write(attempt("good", "s-1", 10, "served"));
      records.write(asked("good", "seal", 9, 30, 200, "answered"));
      for (Entry entry : further) {
        records.write(entry);
      }
      records.write(new Entry.Life(0, 9_000_000, "n0", 7, 2_000_000, "TERM", 143));
    }
    List<String> found = new ArrayList<>();
    Checks.judge(own).forEach(f -> found.add(f.checker() + ": " + f.what()));
    return found;
  }

  private void finds(String checker, Entry... further) throws IOException {
    List<String> found = found(further);
    assertEquals(1, found.size(), found::toString);
    assertTrue(found.get(0).startsWith(checker + ": "), found::toString);
  }

  @Test
  void aGoodRunIsLeftAlone() throws IOException {
    assertEquals(
        List.of(),
        found(
            asked("r", "preview", 10, 700, 503, "answered"),
            attempt("twice", "s-1", 20, "error"),
            attempt("twice", "s-2", 30, "error"),
            asked("twice", "preview", 19, 40, 503, "answered")));
  }

  @Test
  void whatIsNotAnsweredInTimeIsFoundUnlessItsFrontDoorWasKilled() throws IOException {
    Entry late = asked("late", "preview", 100, 801, 503, "answered");
    Entry broken = asked("broken", "preview", 100, 120, 0, "broken");
    Entry killed = new Entry.Life(0, 115_000, "n0", 6, 1, "KILL", 137);
    finds("AnsweredInTime", late);
    finds("AnsweredInTime", broken);
    assertEquals(List.of(), found(broken, killed));
    finds("AnsweredInTime", broken, new Entry.Life(0, 115_000, "n1", 6, 1, "KILL", 137));
    finds("AnsweredInTime", broken, new Entry.Life(0, 115_000, "n0", 6, 1, "TERM", 143));
    Entry held = new Entry.HeldUp(300_000, 320_000, "clients");
    assertEquals(List.of(), found(late, held), "20 ms of it were the lab's own");
    Entry.Fault stopped = new Entry.Fault(90_000, 900_000, "stop", List.of("n0"), Map.of());
    assertEquals(List.of(), found(broken, stopped));
    Entry.Fault cut =
        new Entry.Fault(90_000, 900_000, "cut", List.of("n0"), Map.of("to", List.of("counter")));
    finds("AnsweredInTime", broken, cut);
  }

  @Test
  void aRequestThatWasReadBeforeItsConnectionEndedIsLost() throws IOException {
    Entry resent =
        new Entry.Asked(
            100_000,
            150_000,
            "r",
            "preview",
            "plain",
            "c",
            1,
            200,
            "n0",
            true,
            503,
            "answered",
            "",
            110_000);
    assertEquals(List.of(), found(resent, attempt("r", "s-1", 120, "error")));
    finds("AnsweredInTime", resent, attempt("r", "s-1", 105, "error"));
  }

  @Test
  void answersThatNoServerMadeAreFound() throws IOException {
    Entry answered = asked("r", "preview", 100, 120, 200, "answered");
    assertEquals(List.of(), found(answered, attempt("r", "s-1", 105, "served")));
    finds("ServedByServer", answered);
    finds("ServedByServer", answered, attempt("r", "s-1", 105, "error"));
    finds("ServedByServer", answered, attempt("r", "s-1", 50, "served"));
    finds("ServedByServer", attempt("made up", "s-1", 105, "error"));
  }

  @Test
  void whatMayNotBeRepeatedRunsOnce() throws IOException {
    Entry failed = asked("r", "seal", 100, 150, 500, "answered");
    assertEquals(
        List.of(),
        found(failed, attempt("r", "s-1", 105, "not_started"), attempt("r", "s-2", 110, "error")));
    finds("RunOnce", failed, attempt("r", "s-1", 105, "gone"), attempt("r", "s-2", 110, "error"));
    finds(
        "RunOnce", asked("r", "seal", 100, 150, 503, "answered"), attempt("r", "s-1", 105, "hung"));
  }

  private static Entry[] tries(String plan, int count, double everyMs) {
    Entry[] entries = new Entry[2 * count];
    for (int i = 0; i < count; i++) {
      long at = (long) (100_000 + 1_000 * everyMs * i);
      entries[2 * i] = new Entry.Attempt(at, at + 1, plan + i, "s-1", at, "error", null);
      entries[2 * i + 1] =
          new Entry.Asked(
              at,
              at + 2,
              plan + i,
              "preview",
              plan,
              "c",
              1,
              200,
              "n" + i % 2,
              true,
              500,
              "answered",
              "",
              0);
    }
    return entries;
  }

  @Test
  void allFrontDoorsTogetherKeepToQuotas() throws IOException {
    assertEquals(List.of(), found(tries("plain", 40, 500)), "as much as the rate allows");
    assertEquals(List.of(), found(tries("plain", 12, 1)), "little more than the burst");
    finds("Quota", tries("plain", 40, 1));
    assertEquals(List.of(), found(tries("hard", 7, 1)));
    finds("Quota", tries("hard", 8, 1));
  }

  @Test
  void processesThatEndByThemselvesOrWillNotAreFound() throws IOException {
    finds("Lives", new Entry.Life(0, 5_000_000, "n1", 8, 2_000_000, "itself", 1));
    finds("Lives", new Entry.Life(0, 5_000_000, "n1", 8, 2_000_000, "TERM, KILL", 137));
    finds("Lives", new Entry.Life(0, 40_000_000, "n1", 8, 0, "TERM", 143));
    assertEquals(List.of(), found(new Entry.Life(0, 1_000_000, "n1", 8, 0, "KILL", 137)));
  }

  @Test
  void sendsToAServerThatLeavesAreFound() throws IOException {
    Entry told = new Entry.Told(0, 0, "n0", 3, false, Map.of("s-2", "leaving"));
    Entry request = asked("r", "preview", 1_040, 1_080, 500, "answered");
    assertEquals(
        List.of(), found(told, request, attempt("r", "s-2", 1_045, "error")), "within the grace");
    Entry late = asked("r", "preview", 1_100, 1_180, 500, "answered");
    finds("Drains", told, late, attempt("r", "s-2", 1_110, "error"));
    assertEquals(List.of(), found(told, late, attempt("r", "s-1", 1_110, "error")));
    assertEquals(
        List.of(),
        found(
            told,
            late,
            new Entry.Told(900_000, 900_000, "n0", 4, false, Map.of("s-2", "active")),
            attempt("r", "s-2", 1_110, "error")));
  }

  @Test
  void aRunInWhichHardlyAnythingIsServedTellsNothing() throws IOException {
    Entry refused = asked("r", "preview", 10, 30, 503, "answered");
    assertEquals(List.of(), found(run(0.5), refused));
    finds("Served", run(0.6), refused);
  }

  @Test
  void aDamagedRecordIsToldWithItsLine() throws IOException {
    found();
    try (var runs = Files.list(folder)) {
      Path own = runs.findFirst().orElseThrow();
      Files.writeString(
          own.resolve(Recorder.FILE), "{\"kind\":\"nonsense\"}\n", StandardOpenOption.APPEND);
      IOException told = assertThrows(IOException.class, () -> Checks.judge(own));
      assertTrue(told.getMessage().contains("line 5"), told.getMessage());
    }
  }
}
