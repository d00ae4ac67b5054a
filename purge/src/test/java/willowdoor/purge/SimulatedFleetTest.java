package willowdoor.purge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import willowdoor.purge.SimulatedFleet.Call;

/** Whole front doors over a network without sockets. */
class SimulatedFleetTest {
  private static final long L = 3_000;

  @ParameterizedTest
  @ValueSource(ints = {3, 20, 300})
  void isCompleteInARoundTripWhereAllAnswer(int count) {
    SimulatedFleet doors = new SimulatedFleet(count, Math.min(5, count), L, 1).warm();
    Call call = doors.purge(count - 1, "k", "/", L);
    assertEquals(new Outcome.Complete(PurgeId.of("c", "k"), count, List.of()), call.outcome);
    assertTrue(call.ms <= 4, "1 ms each way, took " + call.ms);
    assertTrue(doors.largest <= Codec.MAX_DATAGRAM_BYTES, "datagrams of " + doors.largest);
  }

  @Test
  void waitsForTheLeasesOfThoseThatAreCutOff() {
    for (SimulatedFleet.Cut cut :
        List.<SimulatedFleet.Cut>of(
            (from, to) -> from == 6 || to == 6, (from, to) -> from == 6, (from, to) -> to == 6)) {
      SimulatedFleet doors = new SimulatedFleet(8, 5, L, 2).warm();
      doors.cut = cut;
      Call call = doors.purge(7, "k", "/", 2 * L);
      assertEquals(List.of(6), assertInstanceOf(Outcome.Complete.class, call.outcome).ranOut());
      assertTrue(call.ms > 1_000 && call.ms <= L, "took " + call.ms);
    }
    SimulatedFleet doors = new SimulatedFleet(8, 5, L, 2).warm();
    doors.cut = (from, to) -> from + to == 13;
    assertTrue(doors.purge(7, "k", "/", 2 * L).ms < L / 2, "door 6 confirms to the keepers");
  }

  @Test
  void promisesNothingWithoutAMajority() {
    SimulatedFleet doors = new SimulatedFleet(8, 5, L, 3).warm();
    doors.cut = (from, to) -> to < 3;
    Call call = doors.purge(7, "k", "/", L);
    assertEquals(
        new Outcome.Unavailable(PurgeId.of("c", "k"), Outcome.FailureReason.NO_MAJORITY),
        call.outcome);
    Call other = doors.start(7, "k3", "/", L);
    List<Outcome> told = new ArrayList<>();
    doors.nodes.get(7).queryStatus(PurgeId.of("c", "k3"), "c", 50, told::add);
    doors.run(100);
    assertEquals(
        new Outcome.Unavailable(PurgeId.of("c", "k3"), Outcome.FailureReason.NO_MAJORITY),
        told.get(0));
    assertEquals(null, other.outcome, "who asks and goes ends nothing");
    doors.cut = (from, to) -> to < 2;
    doors.run(L);
    assertInstanceOf(Outcome.Complete.class, other.outcome);
    assertInstanceOf(Outcome.Complete.class, doors.purge(7, "k", "/", 2 * L).outcome);
    doors.cut = (from, to) -> false;
    for (int keeper = 0; keeper < 3; keeper++) {
      doors.restart(keeper);
    }
    call = doors.purge(7, "k2", "/", 300);
    assertInstanceOf(
        Outcome.Unavailable.class, call.outcome, "three of five keepers know nothing yet");
    assertTrue(call.ms >= 300);
  }

  @Test
  void anotherDoorTakesUpWhatADeadOneBegan() {
    SimulatedFleet doors = new SimulatedFleet(8, 5, L, 4).warm();
    PurgeId id = PurgeId.of("c", "k");
    doors.cut = (from, to) -> to == 6;
    assertEquals(new Outcome.Pending(id), doors.purge(7, "k", "/a", 200).outcome);
    doors.restart(7);
    List<Outcome> told = new ArrayList<>();
    doors.nodes.get(5).queryStatus(id, "c", 2 * L, told::add);
    doors.nodes.get(4).queryStatus(id, "another", 2 * L, told::add);
    doors.nodes.get(4).queryStatus(PurgeId.of("c", "no such"), "c", 2 * L, told::add);
    doors.run(100);
    assertEquals(
        Set.of(new Outcome.Unknown(id), new Outcome.Unknown(PurgeId.of("c", "no such"))),
        Set.copyOf(told));
    assertEquals(
        new Outcome.Rejected(id, Outcome.FailureReason.KEY_USED),
        doors.purge(3, "k", "/other", L).outcome);
    doors.run(L);
    assertInstanceOf(Outcome.Complete.class, told.get(2));
    Call again = doors.purge(2, "k", "/a", L);
    assertEquals(told.get(2), again.outcome, "one key, one outcome, at each door");
    assertTrue(again.ms < 10);
  }

  @Test
  void joinsWhatWaitsAndBoundsWhatIsOut() {
    SimulatedFleet doors = new SimulatedFleet(8, 5, L, 5).warm();
    assertEquals(Map.of(Outcome.Complete.class, 1_000), thousand(doors, 20, "calm"));
    doors.cut = (from, to) -> to == 6;
    Map<Class<?>, Integer> ends = thousand(doors, 2 * L, "cut");
    assertEquals(
        1_000, ends.get(Outcome.Complete.class) + ends.get(Outcome.Rejected.class), ends::toString);
    assertTrue(ends.get(Outcome.Complete.class) >= 600, ends::toString);
    doors.cut = (from, to) -> false;
    doors.run(L);
    assertTrue(doors.purge(7, "after", "/", L).ms <= 4, "nothing is left behind");
  }

  /**
   * A thousand purges of one customer in a second, of fifty prefixes, and how they have ended
   * later.
   */
  private static Map<Class<?>, Integer> thousand(SimulatedFleet doors, long later, String key) {
    List<Call> calls = new ArrayList<>();
    for (int i = 0; i < 1_000; i++) {
      calls.add(doors.start(7, key + i, "/" + i % 50, 2 * L));
      doors.run(1);
    }
    doors.run(later);
    Map<Class<?>, Integer> ends = new HashMap<>();
    calls.forEach(call -> ends.merge(call.outcome.getClass(), 1, Integer::sum));
    return ends;
  }

  /** More runs than a datagram holds, to a door that hears keepers only. */
  @Test
  void carriesManyRunsInSeveralGrants() {
    SimulatedFleet doors = new SimulatedFleet(80, 5, L, 6).warm();
    doors.cut = (from, to) -> to == 6 && from > 5;
    List<Call> calls = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      calls.add(doors.start(10 + i, "k" + i, "/" + "x".repeat(200) + i, L));
    }
    doors.run(L / 2);
    for (Call call : calls) {
      assertEquals(80, assertInstanceOf(Outcome.Complete.class, call.outcome).confirmed());
    }
    assertTrue(doors.nodes.get(6).hasLease());
    assertTrue(doors.largest <= Codec.MAX_DATAGRAM_BYTES);
  }

  /** Everything at random; an answer is the moment at which its server began. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void servesNothingStaleAfterComplete(long seed) {
    SimulatedFleet doors = new SimulatedFleet(7, 5, 600, seed);
    for (int door = 0; door < 7; door++) {
      doors.rates[door] = 991 + doors.random.nextInt(19);
    }
    doors.jitterMs = 40;
    List<Call> calls = new ArrayList<>();
    Map<Integer, List<Runnable>> servers = new HashMap<>();
    long[] counts = new long[3];
    for (int step = 0; step < 30_000; step++) {
      if (step % 700 == 0) {
        trouble(doors);
      }
      int door = doors.random.nextInt(7);
      if (doors.now >= doors.stoppedUntil[door]) {
        request(doors, door, calls, servers, step, counts);
        if (doors.random.nextInt(40) == 0) {
          calls.add(
              doors.start(
                  door, "k" + step, doors.random.nextBoolean() ? "/" : "/p" + step % 3, 900));
        }
      }
      doors.run(1);
      servers.getOrDefault(step, List.of()).forEach(Runnable::run);
    }
    long complete = calls.stream().filter(call -> call.outcome instanceof Outcome.Complete).count();
    assertTrue(counts[0] > 1_000 && complete > 50, "hits " + counts[0] + ", complete " + complete);
  }

  private static void trouble(SimulatedFleet doors) {
    int door = doors.random.nextInt(7);
    int other = doors.random.nextInt(7);
    doors.loss = doors.random.nextInt(3) * 0.15;
    switch (doors.random.nextInt(5)) {
      case 0 -> doors.cut = (from, to) -> from == door;
      case 1 -> doors.cut = (from, to) -> to == door || to == other;
      case 2 -> doors.restart(door);
      case 3 -> doors.stoppedUntil[door] = doors.now + doors.random.nextInt(1_500);
      default -> doors.cut = (from, to) -> false;
    }
  }

  private static void request(
      SimulatedFleet doors,
      int door,
      List<Call> calls,
      Map<Integer, List<Runnable>> servers,
      int step,
      long[] counts) {
    PurgeNode<Object> node = doors.nodes.get(door);
    String target = "/p" + doors.random.nextInt(3) + "/x";
    long asked = doors.now;
    AnswerCache.Waiter<Object> waiter = found -> {};
    AnswerCache.Lookup<Object> found =
        node.cache().find(node.now(), "c", target, node.now() + 500, waiter);
    if (found instanceof AnswerCache.Hit<Object> hit) {
      counts[0]++;
      for (Call call : calls) {
        boolean before = call.outcome instanceof Outcome.Complete && call.taken + call.ms <= asked;
        assertTrue(
            !before || (long) hit.answer() >= call.taken || !call.covers(target),
            () -> "begun " + hit.answer() + ", purge taken " + call.taken + ", served " + asked);
      }
    } else if (found instanceof AnswerCache.Miss<Object> lead) {
      int end = step + 1 + doors.random.nextInt(300);
      servers
          .computeIfAbsent(end, at -> new ArrayList<>())
          .add(() -> lead.fill().done(node.now(), asked));
    }
  }
}
