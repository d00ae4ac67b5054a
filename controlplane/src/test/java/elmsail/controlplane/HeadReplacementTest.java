package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import elmsail.rpc.messages.Voter;
import org.junit.jupiter.api.Test;

/** Voters of "head" that are gone for good, and the next loss right behind the repair. */
class HeadReplacementTest {
  /** The shorter of the sites' {@code catch_up_s}, less what a process takes to start. */
  private static final long CATCH_UP_MS = 4_800 - 900;

  /** Losses of power shorter than this move nobody. */
  private static final long SHORT_LOSS_MS = 2_500;

  private World world;

  private void founded(int bear, int nodes, int voters) {
    world = new World(11, 3, bear);
    for (int i = 1; i <= nodes; i++) {
      world.controlPlane("n" + i, true);
    }
    assertThat(world.until(2_000, () -> world.wholeHead("n1")), is(true));
    assertThat(world.head("n1").voters.size(), is(voters));
    assertThat(world.replaceAnywhere(0, 1), is(200));
  }

  private String holders(String name) {
    StringBuilder holders = new StringBuilder();
    for (Voter slot : world.head(name).voters) {
      holders.append(holders.isEmpty() ? "" : " ").append(slot.machine).append('/');
      holders.append(slot.epoch);
    }
    return holders.toString();
  }

  private void gone(String name) {
    world.net.kill(world.address(name), false);
    world.offices.remove(name);
  }

  /** An empty machine at another address follows, at once or later, whoever holds the lease. */
  @Test
  void oneGoneForGoodIsReplacedAndTheNextMayGo() {
    for (int gone = 1; gone <= 3; gone++) {
      for (long later : new long[] {0, 2_000, 8_000}) {
        founded(1, 3, 3);
        String about = "n" + gone + ", " + later;
        gone("n" + gone);
        world.timers.advance(later);
        long start = world.timers.now();
        world.controlPlane("n4", false);
        String asked = gone == 1 ? "n2" : "n1";
        assertThat(about, world.until(CATCH_UP_MS, () -> world.wholeHead(asked)), is(true));
        long whole = world.timers.now() - start;
        System.out.println("replaced " + about + " ms later: whole after " + whole + " ms");
        world.timers.advance(CATCH_UP_MS - whole);
        // The oldest goes first: what was acknowledged before it joined is at the successor.
        String oldest = gone == 1 ? "n2" : "n1";
        gone(oldest);
        assertThat(
            about, world.until(4_000, () -> world.read("n4").equals(World.config(1))), is(true));
        assertThat(about, world.replace("n4", 1, 5), is(200));
      }
    }
  }

  @Test
  void aShortLossOfPowerMovesNobody() {
    founded(2, 6, 5);
    String before = holders("n1");
    world.net.kill(world.address("n2"), false);
    world.disks.get("n2").powerLoss();
    world.timers.advance(SHORT_LOSS_MS);
    world.controlPlane("n2", false);
    world.timers.advance(5_000);
    assertThat(holders("n1"), equalTo(before));
    assertThat(world.wholeHead("n1"), is(true));
  }

  /** Cut off and gone for good aren't told apart: its votes are void, and it is the next spare. */
  @Test
  void oneThatComesBackIsASpareAndTakesTheNextSlot() {
    founded(1, 4, 3);
    world.net.isolate(world.address("n1"));
    assertThat(world.until(8_000, () -> holders("n2").contains("n4")), is(true));
    assertThat(world.until(2_000, () -> world.wholeHead("n2")), is(true));
    assertThat(world.replace("n2", 1, 2), is(200));
    assertThat(world.replace("n1", 1, 3) == 200, is(false));
    world.net.healAll();
    assertThat(world.until(3_000, () -> !world.offices.get("n1").voters().voting()), is(true));
    assertThat(world.until(3_000, () -> holders("n1").equals(holders("n2"))), is(true));
    gone("n2");
    assertThat(world.until(8_000, () -> holders("n3").contains("n1")), is(true));
    assertThat(world.until(2_000, () -> world.wholeHead("n3")), is(true));
    gone("n3");
    assertThat(world.until(4_000, () -> world.read("n1").equals(World.config(2))), is(true));
  }

  /** Two at once, then two more, oldest first, then all lose power: nothing is lost. */
  @Test
  void lossesRightBehindRepairsOldestFirst() {
    founded(2, 6, 5);
    int version = 1;
    int next = 7;
    for (int round = 0; round < 3; round++) {
      String first = world.head("n" + (next - 1)).voters.get(0).machine;
      String second = world.head("n" + (next - 1)).voters.get(1).machine;
      gone(first);
      gone(second);
      world.controlPlane("n" + next++, false);
      world.controlPlane("n" + next++, false);
      String asked = "n" + (next - 1);
      assertThat(world.until(2 * CATCH_UP_MS, () -> world.wholeHead(asked)), is(true));
      assertThat(world.until(4_000, () -> world.read(asked).startsWith("{")), is(true));
      assertThat(world.read(asked), equalTo(World.config(version)));
      assertThat(world.status(world.sent(asked, "" + version, version + 1)), is(200));
      version++;
    }
    for (String name : world.offices.keySet()) {
      world.net.kill(world.address(name), false);
      world.disks.get(name).powerLoss();
    }
    for (String name : world.offices.keySet().toArray(new String[0])) {
      world.controlPlane(name, false);
    }
    String last = "n" + (next - 1);
    String expected = World.config(version);
    assertThat(world.until(6_000, () -> world.read(last).equals(expected)), is(true));
  }

  @Test
  void whoDirectsSaysWhenTheNextLossMayCome() {
    for (String victim : new String[] {"n1", "n2", "n3"}) {
      founded(1, 3, 3);
      world.timers.advance(2_000);
      gone(victim);
      assertThat(victim, world.until(4_500, () -> directing() != null), is(true));
      RedundancyMonitor monitor = directing().headRedundancy();
      int repairs = monitor.repairs();
      world.timers.advance(5_000);
      assertThat("no spare, no repair", monitor.missing(), is(true));
      world.controlPlane("n4", false);
      assertThat(world.until(CATCH_UP_MS, () -> !monitor.missing()), is(true));
      assertThat(world.wholeHead("n4"), is(true));
      assertThat(monitor.repairs(), is(repairs + 1));
      assertThat(monitor.lastRepairMs(), greaterThan(5_000L));
      assertThat(monitor.lastRepairMs(), lessThan(5_000L + 4_500 + CATCH_UP_MS));
    }
  }

  /** Who holds the lease and misses a voter; null if nobody does. */
  private ControlPlaneNode directing() {
    for (ControlPlaneNode one : world.offices.values()) {
      if (one.headRedundancy().missing()) {
        return one;
      }
    }
    return null;
  }
}
