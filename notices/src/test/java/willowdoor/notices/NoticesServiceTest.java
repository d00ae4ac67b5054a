package willowdoor.notices;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Runs whole front doors with readers and injected faults on a simulated clock. */
class NoticesServiceTest {
  private static final long CUSTOMER = 7;

  private static Sim five(Limits limits, long seed) {
    Sim sim = new Sim(5, limits, seed).start();
    sim.runFor(2_500);
    return sim;
  }

  private static void publishFor(Sim sim, long forMs, long everyMs, int bytes) {
    for (long ms = 1; ms < forMs; ms += everyMs) {
      sim.at(
          sim.nowMs + ms,
          () -> {
            int to = sim.random.nextInt(sim.doors);
            if (sim.services[to] != null) {
              sim.publish(to, CUSTOMER, bytes);
            }
          });
    }
  }

  private static void assertNoViolations(Sim sim) {
    assertEquals(
        List.of(), sim.violations(r -> !sim.unhealthy.contains(r)).stream().limit(5).toList());
    assertTrue(sim.accepted.size() > 0);
  }

  @Test
  void healthyReadersDoNotWaitForSlowOnes() {
    Sim calm = NoticesFigures.play(500, 2, 0, true, 30_000, 3);
    Sim regrouped = NoticesFigures.play(500, 2, 0.02, true, 30_000, 3);
    Sim ungrouped = NoticesFigures.play(500, 2, 0.02, false, 30_000, 3);
    assertNoViolations(calm);
    assertNoViolations(regrouped);
    assertEquals(List.of(), ungrouped.violations(r -> false));
    assertTrue(regrouped.quantile(0.99) <= 1.2 * calm.quantile(0.99));
    assertTrue(
        ungrouped.quantile(0.99) > 5 * calm.quantile(0.99),
        ungrouped.quantile(0.99) + " " + calm.quantile(0.99));
    assertTrue(regrouped.readers.stream().anyMatch(r -> r.moves > 0));
  }

  @Test
  void closesReadersThatStopOrTakeOneBytePerSecond() {
    Sim sim = five(Limits.standard(), 1);
    List<SimReader> stalled = List.of(sim.reader(CUSTOMER, 0), sim.reader(CUSTOMER, 0.001));
    for (int i = 0; i < 20; i++) {
      sim.reader(CUSTOMER, 200);
    }
    sim.unhealthy.addAll(stalled);
    publishFor(sim, 40_000, 20, 500);
    sim.runFor(45_000);
    assertNoViolations(sim);
    assertTrue(stalled.stream().allMatch(r -> r.connection > 22), "closed and reconnected");
    assertTrue(sim.quantile(1) < 100, "a healthy reader was delayed, ms: " + sim.quantile(1));
  }

  @Test
  void groupsSlowReadersAndReturnsThemOnceTheyKeepUp() {
    Sim sim = five(Limits.standard(), 2);
    for (int i = 0; i < 60; i++) {
      sim.reader(CUSTOMER, 200);
    }
    List<SimReader> slow = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      slow.add(sim.reader(CUSTOMER, 1.5));
    }
    sim.unhealthy.addAll(slow);
    publishFor(sim, 80_000, 50, 500);
    sim.runFor(25_000);
    assertEquals(
        1,
        slow.stream().mapToInt(r -> r.door).distinct().count(),
        "all slow readers at one front door");
    assertTrue(slow.stream().mapToInt(r -> r.moves).sum() >= 4);
    slow.forEach(r -> r.bytesPerMs = 200);
    sim.runFor(60_000);
    assertTrue(
        slow.stream().mapToInt(r -> r.door).distinct().count() > 1,
        "back at their first front doors");
    assertEquals(List.of(), sim.violations(r -> true).stream().limit(5).toList());
  }

  @Test
  void movesNoReaderWhenAllAreSlowAndReportsGaps() {
    Sim sim = five(Limits.standard().withRetained(100_000, 60_000), 3);
    for (int i = 0; i < 30; i++) {
      sim.unhealthy.add(sim.reader(CUSTOMER, 2));
    }
    publishFor(sim, 30_000, 20, 500);
    sim.runFor(80_000);
    assertEquals(0, sim.readers.stream().mapToInt(r -> r.moves).sum());
    assertTrue(sim.readers.stream().allMatch(r -> r.gaps > 0));
    assertEquals(List.of(), sim.violations(r -> false).stream().limit(5).toList());
    assertTrue(sim.maxGroupBytes < 2L * Limits.standard().windowBytes());
  }

  @Test
  void distinguishesSlowFrontDoorBurstAndSlowLinkFromSlowReaders() {
    Sim sim = five(Limits.standard(), 8);
    for (int i = 0; i < 100; i++) {
      sim.reader(CUSTOMER + i % 2, 200);
    }
    publishFor(sim, 60_000, 40, 500);
    for (long ms = 1; ms < 60_000; ms += 40) {
      sim.at(sim.nowMs + ms, () -> sim.publish(1, CUSTOMER + 1, 500));
    }
    sim.runFor(20_000);
    for (int n = 0; n < 400; n++) {
      sim.publish(2, CUSTOMER, 500);
    }
    java.util.Arrays.fill(sim.linkMs[3], 2_000);
    sim.runFor(5_000);
    assertEquals(
        0,
        sim.readers.stream().mapToInt(r -> r.moves).sum(),
        "a burst and a slow link move no reader");
    assertTrue(
        sim.services[3].slowLinks(sim.nowMs).size() > 0
            && sim.services[1].slowLinks(sim.nowMs).contains(3));
    java.util.Arrays.fill(sim.linkMs[3], 1);
    List<SimReader> there = sim.readers.stream().filter(r -> r.door == 0).toList();
    for (int ms = 0; ms < 30_000; ms++) {
      there.forEach(r -> r.bytesPerMs = r.door == 0 ? 4 : 200);
      sim.runFor(1);
    }
    assertTrue(
        there.stream().filter(r -> r.moves > 0).count() > there.size() / 4,
        "readers moved away from the slow front door");
    assertEquals(
        0, sim.readers.stream().filter(r -> !there.contains(r)).mapToInt(r -> r.moves).sum());
    there.forEach(r -> r.bytesPerMs = 200);
    sim.runFor(20_000);
    assertNoViolations(sim);
  }

  @Test
  void losesNothingWhenTheTargetOfMovesCrashes() {
    Sim sim = five(Limits.standard(), 4);
    for (int i = 0; i < 40; i++) {
      sim.reader(CUSTOMER, i < 8 ? 1.5 : 200);
    }
    publishFor(sim, 40_000, 50, 500);
    int target =
        new SlowReaderPlacement(
                IntStream.range(0, 5).mapToObj(i -> new FleetView.Member(i, 1, "d")).toList())
            .memberFor(CUSTOMER, PaceClass.SLOW);
    while (sim.readers.stream().noneMatch(r -> r.order != null)) {
      sim.runFor(1);
    }
    sim.kill(target, 1_500);
    sim.runFor(20_000);
    sim.readers.forEach(r -> r.bytesPerMs = 200);
    sim.runFor(40_000);
    assertNoViolations(sim);
  }

  /**
   * The front door crashes n ms after the POST: notices that were answered with 200 must be
   * delivered, all others may be.
   */
  @Test
  void keepsAcknowledgedNoticesWhenTheFrontDoorCrashesAtOnce() {
    int acknowledged = 0;
    for (int ms = 0; ms < 8; ms++) {
      Sim sim = five(Limits.standard(), 5);
      for (int i = 0; i < 25; i++) {
        sim.reader(CUSTOMER, 200);
      }
      publishFor(sim, 2_000, 100, 300);
      sim.runFor(2_500);
      java.util.Arrays.fill(sim.linkMs[0], 2);
      int before = sim.accepted.size();
      for (int n = 0; n < 10; n++) {
        sim.publish(0, CUSTOMER, 300);
      }
      sim.runFor(ms);
      sim.kill(0, 500);
      acknowledged += sim.accepted.size() - before;
      sim.runFor(10_000);
      assertNoViolations(sim);
    }
    assertTrue(
        acknowledged > 0 && acknowledged < 80,
        "some crashes before the answer, some after: " + acknowledged);
  }

  @Test
  void reportsOpenEndedGapWhenOriginAndReplicaHolderCrash() {
    Sim sim = five(Limits.standard(), 6);
    SimReader reader = sim.reader(CUSTOMER, 200);
    int at = reader.door;
    int origin = (at + 1) % 5;
    sim.runFor(200);
    sim.publish(origin, CUSTOMER, 100);
    sim.runFor(500);
    // The first reader's front door holds the replica, as it has readers. Another reader connects
    // to a third front door.
    SimReader other = null;
    while (other == null || other.door == at || other.door == origin) {
      other = sim.reader(CUSTOMER, 200);
    }
    sim.runFor(500);
    sim.publish(origin, CUSTOMER, 100);
    sim.runFor(500);
    sim.kill(origin, 300);
    sim.kill(at, 300);
    sim.runFor(6_000);
    assertTrue(other.streams.values().stream().anyMatch(k -> k.openEnd));
  }

  @Test
  void refusesNoticeWithoutASecondFrontDoor() {
    Sim sim = new Sim(1, Limits.standard(), 1).start();
    sim.publish(0, CUSTOMER, 100);
    assertEquals(1, sim.refusedCalls);
  }

  @Test
  void deliversEveryNoticeInThirtyRandomHistories() {
    for (int seed = 1; seed <= 30; seed++) {
      Sim sim = history(new Sim(5, Limits.standard().withRetained(200_000, 20_000), seed));
      assertEquals(List.of(), sim.violations(r -> true).stream().limit(3).toList(), "seed " + seed);
      assertTrue(sim.accepted.size() > 500, "accepted notices: " + sim.accepted.size());
    }
  }

  /**
   * Runs 60 readers, four of them slow for a while, with six faults within 30 s, followed by a time
   * without faults.
   */
  static Sim history(Sim sim) {
    sim.start().runFor(2_500);
    for (int i = 0; i < 60; i++) {
      boolean slow = i % 15 == 0;
      SimReader reader = sim.reader(CUSTOMER + i % 2, slow ? 1 : 200);
      if (slow) {
        sim.at(25_000, () -> reader.bytesPerMs = 200);
      }
    }
    publishFor(sim, 30_000, 30, 400);
    for (int n = 0; n < 6; n++) {
      int one = sim.random.nextInt(5);
      int other = (one + 1 + sim.random.nextInt(4)) % 5;
      int kind = sim.random.nextInt(3);
      sim.at(3_000 + sim.random.nextInt(20_000), () -> fault(sim, kind, one, other));
    }
    sim.runFor(70_000);
    return sim;
  }

  @Test
  void detectsAnUnreportedGap() {
    Sim sim = new Sim(5, Limits.standard().withRetained(200_000, 20_000), 2);
    sim.events =
        new ServerSentEvents() {
          @Override
          byte[] gap(StreamId stream, long from, long to, Position after) {
            return new byte[0];
          }
        };
    List<String> violations = history(sim).violations(r -> true);
    System.out.println("found: " + violations.get(0));
    assertTrue(violations.get(0).contains(" lost "));
  }

  private static void fault(Sim sim, int kind, int one, int other) {
    if (kind == 0 && sim.services[one] != null) {
      sim.kill(one, 600);
      sim.at(
          sim.nowMs + 1_000 + sim.random.nextInt(4_000),
          () -> {
            sim.restart(one);
            sim.publishViews(100);
          });
    } else if (kind == 1) {
      sim.cut(one, other, true);
      sim.publishViews(800);
      sim.at(
          sim.nowMs + 3_000,
          () -> {
            sim.cut(one, other, false);
            sim.publishViews(100);
          });
    } else if (kind == 2) {
      sim.linkMs[one][other] = 300;
      sim.at(sim.nowMs + 4_000, () -> sim.linkMs[one][other] = 1);
    }
  }
}
