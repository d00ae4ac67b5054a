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

/** Tests complete gateways over a simulated network, without sockets. */
class SimulatedFleetTest {
  private static final long L = 3_000;

  @ParameterizedTest
  @ValueSource(ints = {3, 20, 300})
  void completesInOneRoundTripIfAllGatewaysAnswer(int count) {
    SimulatedFleet gateways = new SimulatedFleet(count, Math.min(5, count), L, 1).warmUp();
    Call call = gateways.purge(count - 1, "k", "/", L);
    assertEquals(new Outcome.Complete(PurgeId.of("c", "k"), count, List.of()), call.outcome);
    assertTrue(call.ms <= 4, "1 ms each way, took " + call.ms);
    assertTrue(gateways.largest <= Codec.MAX_DATAGRAM_BYTES, "datagrams of " + gateways.largest);
  }

  @Test
  void waitsUntilLeasesOfDisconnectedGatewaysExpire() {
    for (SimulatedFleet.Cut cut :
        List.<SimulatedFleet.Cut>of(
            (from, to) -> from == 6 || to == 6, (from, to) -> from == 6, (from, to) -> to == 6)) {
      SimulatedFleet gateways = new SimulatedFleet(8, 5, L, 2).warmUp();
      gateways.cut = cut;
      Call call = gateways.purge(7, "k", "/", 2 * L);
      assertEquals(List.of(6), assertInstanceOf(Outcome.Complete.class, call.outcome).ranOut());
      assertTrue(call.ms > 1_000 && call.ms <= L, "took " + call.ms);
    }
    SimulatedFleet gateways = new SimulatedFleet(8, 5, L, 2).warmUp();
    gateways.cut = (from, to) -> from + to == 13;
    assertTrue(
        gateways.purge(7, "k", "/", 2 * L).ms < L / 2, "gateway 6 confirms to the acceptors");
  }

  @Test
  void reportsUnavailableWithoutAMajority() {
    SimulatedFleet gateways = new SimulatedFleet(8, 5, L, 3).warmUp();
    gateways.cut = (from, to) -> to < 3;
    Call call = gateways.purge(7, "k", "/", L);
    assertEquals(
        new Outcome.Unavailable(PurgeId.of("c", "k"), Outcome.FailureReason.NO_MAJORITY),
        call.outcome);
    Call other = gateways.start(7, "k3", "/", L);
    List<Outcome> outcomes = new ArrayList<>();
    gateways.nodes.get(7).queryStatus(PurgeId.of("c", "k3"), "c", 50, outcomes::add);
    gateways.run(100);
    assertEquals(
        new Outcome.Unavailable(PurgeId.of("c", "k3"), Outcome.FailureReason.NO_MAJORITY),
        outcomes.get(0));
    assertEquals(null, other.outcome, "an expired status query must not end the purge");
    gateways.cut = (from, to) -> to < 2;
    gateways.run(L);
    assertInstanceOf(Outcome.Complete.class, other.outcome);
    assertInstanceOf(Outcome.Complete.class, gateways.purge(7, "k", "/", 2 * L).outcome);
    gateways.cut = (from, to) -> false;
    for (int acceptor = 0; acceptor < 3; acceptor++) {
      gateways.restart(acceptor);
    }
    call = gateways.purge(7, "k2", "/", 300);
    assertInstanceOf(
        Outcome.Unavailable.class,
        call.outcome,
        "three of five acceptors are silent after their restart");
    assertTrue(call.ms >= 300);
  }

  @Test
  void anotherGatewayCompletesPurgeOfARestartedGateway() {
    SimulatedFleet gateways = new SimulatedFleet(8, 5, L, 4).warmUp();
    PurgeId id = PurgeId.of("c", "k");
    gateways.cut = (from, to) -> to == 6;
    assertEquals(new Outcome.Pending(id), gateways.purge(7, "k", "/a", 200).outcome);
    gateways.restart(7);
    List<Outcome> outcomes = new ArrayList<>();
    gateways.nodes.get(5).queryStatus(id, "c", 2 * L, outcomes::add);
    gateways.nodes.get(4).queryStatus(id, "another", 2 * L, outcomes::add);
    gateways.nodes.get(4).queryStatus(PurgeId.of("c", "no such"), "c", 2 * L, outcomes::add);
    gateways.run(100);
    assertEquals(
        Set.of(new Outcome.Unknown(id), new Outcome.Unknown(PurgeId.of("c", "no such"))),
        Set.copyOf(outcomes));
    assertEquals(
        new Outcome.Rejected(id, Outcome.FailureReason.KEY_USED),
        gateways.purge(3, "k", "/other", L).outcome);
    gateways.run(L);
    assertInstanceOf(Outcome.Complete.class, outcomes.get(2));
    Call again = gateways.purge(2, "k", "/a", L);
    assertEquals(outcomes.get(2), again.outcome, "one key, one outcome, at each gateway");
    assertTrue(again.ms < 10);
  }

  @Test
  void mergesWaitingPurgesAndBoundsActiveRuns() {
    SimulatedFleet gateways = new SimulatedFleet(8, 5, L, 5).warmUp();
    assertEquals(Map.of(Outcome.Complete.class, 1_000), startThousand(gateways, 20, "calm"));
    gateways.cut = (from, to) -> to == 6;
    Map<Class<?>, Integer> ends = startThousand(gateways, 2 * L, "cut");
    assertEquals(
        1_000, ends.get(Outcome.Complete.class) + ends.get(Outcome.Rejected.class), ends::toString);
    assertTrue(ends.get(Outcome.Complete.class) >= 600, ends::toString);
    gateways.cut = (from, to) -> false;
    gateways.run(L);
    assertTrue(gateways.purge(7, "after", "/", L).ms <= 4, "no run is left over");
  }

  /**
   * Requests a thousand purges of fifty prefixes for one customer within a second, and returns the
   * number of each outcome after a delay.
   */
  private static Map<Class<?>, Integer> startThousand(
      SimulatedFleet gateways, long later, String key) {
    List<Call> calls = new ArrayList<>();
    for (int i = 0; i < 1_000; i++) {
      calls.add(gateways.start(7, key + i, "/" + i % 50, 2 * L));
      gateways.run(1);
    }
    gateways.run(later);
    Map<Class<?>, Integer> ends = new HashMap<>();
    calls.forEach(call -> ends.merge(call.outcome.getClass(), 1, Integer::sum));
    return ends;
  }

  /**
   * Guards against a lost run: there are more runs than a datagram can carry, and one gateway
   * receives messages from acceptors only.
   */
  @Test
  void carriesManyRunsInSeveralGrants() {
    SimulatedFleet gateways = new SimulatedFleet(80, 5, L, 6).warmUp();
    gateways.cut = (from, to) -> to == 6 && from > 5;
    List<Call> calls = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      calls.add(gateways.start(10 + i, "k" + i, "/" + "x".repeat(200) + i, L));
    }
    gateways.run(L / 2);
    for (Call call : calls) {
      assertEquals(80, assertInstanceOf(Outcome.Complete.class, call.outcome).confirmed());
    }
    assertTrue(gateways.nodes.get(6).hasLease());
    assertTrue(gateways.largest <= Codec.MAX_DATAGRAM_BYTES);
  }

  /**
   * Guards against a purged answer that is served after the purge is complete, under random loss,
   * stops, restarts and cuts. Each answer is the time at which it was requested.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void servesNoPurgedAnswerAfterComplete(long seed) {
    SimulatedFleet gateways = new SimulatedFleet(7, 5, 600, seed);
    for (int gateway = 0; gateway < 7; gateway++) {
      gateways.rates[gateway] = 991 + gateways.random.nextInt(19);
    }
    gateways.jitterMs = 40;
    List<Call> calls = new ArrayList<>();
    Map<Integer, List<Runnable>> servers = new HashMap<>();
    long[] counts = new long[3];
    for (int step = 0; step < 30_000; step++) {
      if (step % 700 == 0) {
        injectFault(gateways);
      }
      int gateway = gateways.random.nextInt(7);
      if (gateways.now >= gateways.stoppedUntil[gateway]) {
        request(gateways, gateway, calls, servers, step, counts);
        if (gateways.random.nextInt(40) == 0) {
          calls.add(
              gateways.start(
                  gateway, "k" + step, gateways.random.nextBoolean() ? "/" : "/p" + step % 3, 900));
        }
      }
      gateways.run(1);
      servers.getOrDefault(step, List.of()).forEach(Runnable::run);
    }
    long complete = calls.stream().filter(call -> call.outcome instanceof Outcome.Complete).count();
    assertTrue(counts[0] > 1_000 && complete > 50, "hits " + counts[0] + ", complete " + complete);
  }

  private static void injectFault(SimulatedFleet gateways) {
    int gateway = gateways.random.nextInt(7);
    int other = gateways.random.nextInt(7);
    gateways.loss = gateways.random.nextInt(3) * 0.15;
    switch (gateways.random.nextInt(5)) {
      case 0 -> gateways.cut = (from, to) -> from == gateway;
      case 1 -> gateways.cut = (from, to) -> to == gateway || to == other;
      case 2 -> gateways.restart(gateway);
      case 3 -> gateways.stoppedUntil[gateway] = gateways.now + gateways.random.nextInt(1_500);
      default -> gateways.cut = (from, to) -> false;
    }
  }

  private static void request(
      SimulatedFleet gateways,
      int gateway,
      List<Call> calls,
      Map<Integer, List<Runnable>> servers,
      int step,
      long[] counts) {
    PurgeNode<Object> node = gateways.nodes.get(gateway);
    String target = "/p" + gateways.random.nextInt(3) + "/x";
    long asked = gateways.now;
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
      int end = step + 1 + gateways.random.nextInt(300);
      servers
          .computeIfAbsent(end, at -> new ArrayList<>())
          .add(() -> lead.fill().done(node.now(), asked));
    }
  }
}
