package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** The founding of the set "head" on simulated links and disks. */
class HeadFoundingTest {
  private static final int HISTORIES = 300;

  /** A history in which a seed may end is given so long; it isn't bound to the usual time. */
  private static final long LONGEST_MS = 8_000;

  private static TreeSet<String> voters(World world, String name) {
    TreeSet<String> stations = new TreeSet<>();
    for (Voter voter : world.head(name).voters) {
      stations.add(voter.machine);
    }
    return stations;
  }

  private static boolean knownByAll(World world, int size) {
    Set<Set<String>> all = new HashSet<>();
    for (String name : world.offices.keySet()) {
      all.add(voters(world, name));
    }
    return all.size() == 1 && all.iterator().next().size() == size;
  }

  private static void sixNodes(World world, Random chance) {
    for (int i = 1; i <= 6; i++) {
      world.controlPlane("n" + i, true);
      world.timers.advance(chance.nextInt(50));
    }
  }

  @Test
  void fiveVotersForTwoLossesWithinTwoSecondsAlsoOnASlowDisk() {
    World world = new World(3, 3, 2);
    world.syncMs = 5;
    sixNodes(world, new Random(3));
    assertThat(world.until(2_000, () -> knownByAll(world, 5)), is(true));
    assertThat(world.replaceAnywhere(0, 3), is(200));
    assertThat(world.timers.now(), lessThan(2_500L));
  }

  /** Killed by power, wiped, or one of both: what was acknowledged is there. */
  @Test
  void whatWasAcknowledgedOutlivesTwoLossesAtOnce() {
    for (int kind = 0; kind < 3; kind++) {
      World world = new World(kind, 3, 2);
      sixNodes(world, new Random(kind));
      assertThat(world.until(2_000, () -> knownByAll(world, 5)), is(true));
      assertThat(world.replaceAnywhere(0, 3), is(200));
      for (int i = 0; i < 2; i++) {
        String name = "n" + (1 + i);
        if (kind == 0 || kind == 2 && i == 0) {
          world.net.kill(world.address(name), false);
          world.disks.get(name).powerLoss();
        } else {
          world.wipe(name);
        }
      }
      assertThat(world.until(3_000, () -> world.read("n3").equals(World.config(3))), is(true));
      assertThat("kind " + kind, world.replace("n4", 3, 7), is(200));
      world.controlPlane("n1", false);
      world.controlPlane("n2", false);
      assertThat(world.until(4_800, () -> world.wholeHead("n3")), is(true));
      world.kill("n3");
      world.kill("n4");
      assertThat(world.until(4_000, () -> world.read("n5").equals(World.config(7))), is(true));
    }
  }

  @Test
  void seedsWithoutADiskFoundAmongThoseThatHaveOne() {
    World world = new World(5, 3, 1);
    for (int i = 1; i <= 6; i++) {
      world.controlPlane("n" + i, true, i > 3);
    }
    assertThat(world.until(2_000, () -> knownByAll(world, 3)), is(true));
    assertThat(voters(world, "n1"), equalTo(new TreeSet<>(Set.of("n4", "n5", "n6"))));
    assertThat(world.status(world.sent("n4", "0", 3)), is(200));
  }

  @Test
  void fewerThanWantedAreAnOddNumberAfterAWhile() {
    World world = new World(6, 3, 2);
    for (int i = 1; i <= 4; i++) {
      world.controlPlane("n" + i, true);
    }
    world.timers.advance(2_500);
    assertThat(voters(world, "n1"), hasSize(0));
    assertThat(world.until(2_000, () -> knownByAll(world, 3)), is(true));
  }

  @Test
  void oneThatWasNotThereAtTheFirstStartFoundsNothing() {
    World world = new World(7, 3, 2);
    for (int i = 1; i <= 6; i++) {
      world.controlPlane("n" + i, false);
    }
    world.timers.advance(10_000);
    assertThat(voters(world, "n1"), hasSize(0));
  }

  /** Losses, delays, and a seed that ends at any moment, with its disk or without. */
  @Test
  void foundedOnceWhateverHappens() {
    int founded = 0;
    int ended = 0;
    for (int seed = 1; seed <= HISTORIES; seed++) {
      Random chance = new Random(seed);
      World world = new World(seed, 3, 2);
      world.net.delay(1, 1 + chance.nextInt(120));
      world.net.loss(chance.nextInt(3) * 0.15);
      boolean diskless = chance.nextInt(3) == 0;
      for (int i = 1; i <= 7; i++) {
        world.controlPlane("n" + i, true, !(diskless && i <= 2));
        world.timers.advance(chance.nextInt(50));
      }
      boolean ends = chance.nextBoolean();
      long endsAt = world.timers.now() + chance.nextInt(900);
      Map<Integer, Set<Long>> seen = new TreeMap<>();
      Set<Integer> sizes = new HashSet<>();
      String victim = "n" + (1 + chance.nextInt(3));
      boolean disk = !(diskless && !victim.equals("n3"));
      long restartsAt = endsAt + 300 + chance.nextInt(1_000);
      long end = world.timers.now() + LONGEST_MS;
      boolean wiped = disk && chance.nextBoolean();
      while (world.timers.now() < end) {
        world.timers.advance(5);
        if (ends && endsAt <= world.timers.now()) {
          endsAt = Long.MAX_VALUE;
          ended++;
          if (wiped) {
            world.wipe(victim);
          } else {
            world.kill(victim);
          }
          world.offices.remove(victim);
        }
        if (ends && endsAt == Long.MAX_VALUE && restartsAt <= world.timers.now()) {
          restartsAt = Long.MAX_VALUE;
          world.controlPlane(victim, false, disk);
        }
        for (String name : world.offices.keySet()) {
          noteFounding(world.head(name), seen, sizes);
        }
      }
      assertThat("seed " + seed + ": " + sizes, sizes.size() < 2, is(true));
      for (Set<Long> holders : seen.values()) {
        assertThat("seed " + seed + ": " + seen, holders, hasSize(1));
      }
      founded += sizes.size();
    }
    System.out.printf(
        "%d foundings under loss and delay: %d founded, %d with a seed that ended%n",
        HISTORIES, founded, ended);
    assertThat(ended, is(not(0)));
    assertThat(founded, is(HISTORIES));
  }

  /** Who was founded in each slot, where that can be told: by its epoch 1, or from its epoch 2. */
  private static void noteFounding(
      VoterSet head, Map<Integer, Set<Long>> founded, Set<Integer> sizes) {
    for (int i = 0; i < head.voters.size(); i++) {
      Voter voter = head.voters.get(i);
      long first =
          voter.epoch == 1 ? voter.instanceId : voter.epoch == 2 ? voter.previousInstanceId : 0;
      if (first != 0) {
        founded.computeIfAbsent(i, slot -> new HashSet<>()).add(first);
      }
      sizes.add(head.voters.size());
    }
  }
}
