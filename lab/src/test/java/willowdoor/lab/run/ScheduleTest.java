package willowdoor.lab.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ScheduleTest {

  private static String step(String rest) {
    return "name = 'x'\n[[steps]]\nat_ms = 10\n" + rest.replace(';', '\n');
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "nam = 'x'                              | name is missing",
        "name = 'x';doors.cout = 2              | doors.cout: there is no such key here",
        "name = 'x';doors.count = 0             | doors.count is not a whole number from 1 to 150: 0",
        "name = 'x';doors.count = 'two'         | doors.count is not a whole number from 1 to 150: ''two''",
        "name = 'x';load.rate = -1              | load.rate is not a number from 0 to 1000000: -1",
        "name = 'x';load.classes = {nosuch=1}   | load.classes.nosuch: the settings name only",
        "name = 'x';load.retry = 1              | load.retry is not true or false: 1",
        "name = 'x';relay.links = ['dors']      | relay.links holds what is none of",
        "name = 'x';observe = 3                 | observe is not a list of tables",
        "name = 'x';servers = 3                 | servers is not a table",
        "name = 'x';name = 'y'                  | the schedule is not TOML",
        "name = 'x';doors.only = [{id = 'n5'}]  | "
            + "doors.only: there are no other front doors than [n0, n1, n2]",
        "name = 'x';doors.twins = [{id='n1', of='n0'}]   | doors.twins[0].id is not a short word",
        "name = 'x';doors.twins = [{id='t', of='n7'}] | doors.twins[0].of is not the name of a front door: n7"
      })
  void whatIsWrongIsToldWithItsKey(String toml, String message) {
    BadSchedule bad =
        assertThrows(BadSchedule.class, () -> Schedule.parse(toml.replace(';', '\n')));
    assertTrue(bad.getMessage().contains(message.replace("''", "\"")), bad.getMessage());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "action = 'kil';targets = ['n0']                  | steps[0].action: there is no 'kil'",
        "action = 'kill'                                  | steps[0].targets: kill needs some",
        "action = 'kill';targets = ['n3']                 | steps[0].targets: kill cannot be done to 'n3'",
        "action = 'kill';targets = ['counter']            | "
            + "steps[0].targets: kill cannot be done to 'counter'",
        "action = 'kill';targets = ['doors:2-9'] | steps[0].targets: kill cannot be done to 'doors:2-9'",
        "action = 'counter_forget';targets = ['counter']  | steps[0].targets: counter_forget has none",
        "action = 'drop';targets = ['n0']                 | steps[0].share is missing",
        "action = 'drop';targets = ['n0'];share = 2       | steps[0].share is not a number from 0 to 1: 2",
        "action = 'cut';targets = ['n0'];way = 'up'       | steps[0].way is none of both, out, in: up",
        "action = 'cut';targets = ['n0'];to = ['n9']      | steps[0].to: there is no 'n9'",
        "action = 'stop';targets = ['n0'];share = 0.5     | steps[0].share: there is no such key here"
      })
  void whatIsWrongWithAStepToo(String rest, String message) {
    BadSchedule bad = assertThrows(BadSchedule.class, () -> Schedule.parse(step(rest)));
    assertTrue(bad.getMessage().contains(message), bad.getMessage());
  }

  @Test
  void theExampleReadsAndIsWrittenAsItReads() throws Exception {
    Schedule read = Schedule.read(Path.of("examples", "three.toml"));
    assertEquals(
        List.of(Action.KILL, Action.START), read.steps.stream().map(Step::action).toList());
    Schedule again = Schedule.parse(read.with(9, read.steps).toml());
    assertEquals(9, again.seed);
    assertEquals(read.steps, again.steps);
    assertEquals(read.load, again.load);
    assertEquals(4, read.settings.path("Extra").path("MaxUnits").asInt());
    assertEquals(
        7,
        Schedule.parse("name = 'x'\nsettings.Extra.MaxUnits = 7")
            .settings
            .path("Extra")
            .path("MaxUnits")
            .asInt(),
        "merged over what is there without");
  }

  @Test
  void partiesAreNamedInManyWays() {
    Parties parties = new Parties(10, List.of("twin"), 2);
    RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
    assertEquals(
        List.of("n2", "n3", "s-0001"),
        parties.resolve(List.of("doors:2-3", "s-0001"), List.of(), random));
    List<String> half = parties.resolve(List.of("doors:50%"), List.of(), random);
    List<String> rest = parties.resolve(List.of("rest"), half, random);
    assertEquals(11, half.size() + rest.size());
    assertTrue(half.stream().noneMatch(rest::contains));
    assertEquals(16, parties.resolve(List.of("all"), List.of(), random).size());
  }

  @Test
  void drawnFaultsHangOnTheSeedAndCanBePlayed() throws Exception {
    Schedule base = Schedule.parse("name = 'x'\nrun_ms = 8000\ndoors.count = 5");
    for (int seed = 0; seed < 200; seed++) {
      List<List<Step>> faults = new RandomFaults(base, seed).draw(5);
      assertEquals(faults, new RandomFaults(base, seed).draw(5));
      List<Step> steps = faults.stream().flatMap(List::stream).toList();
      assertEquals(steps, base.with(seed, steps).steps);
      assertTrue(steps.stream().allMatch(s -> s.atMs() < 5_000));
    }
    assertNotEquals(new RandomFaults(base, 1).draw(5), new RandomFaults(base, 2).draw(5));
  }

  @Test
  void aFailingListIsMadeSmaller() throws Exception {
    List<Integer> all = IntStream.range(0, 12).boxed().toList();
    assertEquals(
        List.of(3, 7), Shrinker.shrink(all, 1_000, left -> left.containsAll(List.of(3, 7))));
    assertEquals(List.of(), Shrinker.shrink(all, 1_000, left -> true));
    assertEquals(10, Shrinker.shrink(all, 2, left -> true).size(), "no more than it may try");
  }
}
