package willowdoor.lab.run;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** Draws faults for a schedule from a seed; each is a list of steps, the last of which ends it. */
final class RandomFaults {

  /** Nothing happens before the load is there, and everything is over so long before the end. */
  private static final long FIRST_MS = 500;

  private static final long REST_MS = 3_000;

  private final Schedule schedule;
  private final RandomGenerator random;
  private final long lastMs;

  RandomFaults(Schedule schedule, long seed) throws BadSchedule {
    this.schedule = schedule;
    random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    lastMs = schedule.runMs - REST_MS;
    if (lastMs < FIRST_MS + 1_000) {
      throw new BadSchedule(
          "run_ms: faults are drawn only for runs of "
              + (FIRST_MS + 1_000 + REST_MS)
              + " ms and more");
    }
  }

  List<List<Step>> draw(int count) {
    List<List<Step>> faults = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      faults.add(one());
    }
    return faults;
  }

  private List<Step> one() {
    long begin = random.nextLong(FIRST_MS, lastMs - 500);
    long end = random.nextLong(begin + 300, lastMs);
    String door = oneOf(schedule.parties.doors().subList(0, schedule.doors.count()));
    String server = oneOf(schedule.parties.servers());
    return switch (random.nextInt(15)) {
      case 0, 1 -> pair(begin, Action.KILL, door, Map.of(), end, Action.START, Map.of());
      case 2 -> pair(begin, Action.STOP, door, Map.of(), end, Action.CONT, Map.of());
      case 3 ->
          List.of(
              new Step(
                  begin,
                  Action.STARVE,
                  List.of(door),
                  Map.of("share", share(0.1, 0.6), "for_ms", (double) (end - begin))));
      case 4 -> way(begin, end, Action.CUT, Map.of("way", oneOf(List.of("both", "out", "in"))));
      case 5 ->
          way(begin, end, Action.DELAY, Map.of("ms", share(1, 200), "jitter_ms", share(0, 100)));
      case 6 -> way(begin, end, Action.DROP, Map.of("share", share(0.05, 0.5)));
      case 7 -> way(begin, end, Action.DUPLICATE, Map.of("share", share(0.05, 0.5)));
      case 8 -> way(begin, end, Action.REORDER, Map.of("share", share(0.05, 0.5)));
      case 14 -> way(begin, end, Action.GARBLE, Map.of("share", share(0.05, 0.5)));
      case 9 ->
          List.of(
              new Step(
                  begin, Action.RESET, List.of(door), Map.of("to", List.of("servers", "counter"))));
      case 10 ->
          pair(begin, Action.SERVER_STOP, server, Map.of(), end, Action.SERVER_START, Map.of());
      case 11 ->
          pair(
              begin,
              Action.SERVE,
              server,
              Map.of("slow", share(2, 10), "failing", share(0, 0.5), "hanging", share(0, 0.3)),
              end,
              Action.SERVE,
              Map.of());
      case 12 ->
          List.of(
              new Step(begin, Action.COUNTER, List.of(), Map.of("out", 1.0)),
              new Step(end, Action.COUNTER, List.of(), Map.of()));
      default -> pair(begin, Action.SILENCE, door, Map.of(), end, Action.SPEAK, Map.of());
    };
  }

  /** Between a share of the front doors and others, or each other. */
  private List<Step> way(long begin, long end, Action action, Map<String, Object> args) {
    List<String> doors = List.of(oneOf(List.of("doors:10%", "doors:30%", "doors:50%")));
    List<String> to = List.of(oneOf(List.of("rest", "rest", "servers", "counter", "discovery")));
    Map<String, Object> all = new LinkedHashMap<>(args);
    all.put("to", to);
    Step fault = new Step(begin, action, doors, all);
    // Healed from all sides, as a step that draws its targets anew would draw others.
    return List.of(
        fault, new Step(end, Action.HEAL, List.of("doors"), Map.of("to", List.of("all"))));
  }

  private static List<Step> pair(
      long begin,
      Action action,
      String target,
      Map<String, Object> args,
      long end,
      Action over,
      Map<String, Object> overArgs) {
    return List.of(
        new Step(begin, action, List.of(target), args),
        new Step(end, over, List.of(target), overArgs));
  }

  private double share(double least, double most) {
    return Math.round(1_000 * random.nextDouble(least, most)) / 1e3;
  }

  private <T> T oneOf(List<T> items) {
    return items.get(random.nextInt(items.size()));
  }
}
