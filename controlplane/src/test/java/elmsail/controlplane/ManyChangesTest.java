package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.nullValue;

import elmsail.config.watch.ConfigWatcher;
import elmsail.simulation.SimDisk;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Hundreds of changes while members are down, come back with the disk they had, or with none: what
 * it takes to catch up does not grow with the number of changes that were missed.
 */
class ManyChangesTest {
  /** From the start of a process until it has all that a majority has. */
  private static final long CATCH_UP_MS = 4_900;

  /** What a member that comes back may send and receive until it has caught up. */
  private static final long CATCH_UP_BYTES = 150_000;

  /** What one run differs from another by the times at which it reads and is read. */
  private static final long CATCH_UP_NOISE_BYTES = 30_000;

  private long edition;
  private int seed;

  private World started() {
    World world = new World(++seed, 3);
    edition = 0;
    world.net.delay(1, 15);
    for (int i = 1; i <= 3; i++) {
      world.controlPlane("n" + i, true);
    }
    change(world, 1);
    return world;
  }

  private void change(World world, int times) {
    for (int i = 0; i < times; i++) {
      assertThat(world.replaceAnywhere(edition, edition + 1), is(200));
      edition++;
    }
  }

  private boolean current(World world, String node) {
    byte[] known = world.offices.get(node).committedConfig();
    return known != null && ConfigHistory.of(known).edition() == edition;
  }

  private record CaughtUp(long ms, long bytes) {}

  /** Starts the node and waits until it gives out the newest configuration. */
  private CaughtUp catchUp(World world, String node) {
    long begun = world.timers.now();
    world.net.countBytes(world.address(node));
    world.controlPlane(node, false);
    assertThat(world.until(CATCH_UP_MS, () -> current(world, node)), is(true));
    long ms = world.timers.now() - begun;
    // A wiped one copies the records, which its own reads do not wait for.
    world.timers.advance(CATCH_UP_MS - ms);
    long bytes = world.net.countedBytes();
    assertThat(world.read(node), is(World.config(edition)));
    return new CaughtUp(ms, bytes);
  }

  private CaughtUp missed(int changes, boolean wiped) {
    World world = started();
    // From here on the history of orders is as long as it ever gets.
    change(world, ConfigHistory.REMEMBERED);
    if (wiped) {
      world.wipe("n3");
    } else {
      world.kill("n3");
    }
    change(world, changes);
    CaughtUp caughtUp = catchUp(world, "n3");
    // It counts again: with it the system bears the loss of another.
    world.kill("n1");
    change(world, 3);
    assertThat(world.until(CATCH_UP_MS, () -> current(world, "n3")), is(true));
    return caughtUp;
  }

  @Test
  void catchingUpDoesNotGrowWithTheChangesMissed() {
    for (boolean wiped : new boolean[] {false, true}) {
      List<CaughtUp> all = new ArrayList<>();
      for (int changes : new int[] {1, 30, 300, 1_000}) {
        CaughtUp one = missed(changes, wiped);
        System.out.printf(
            "%s, %d changes missed: current after %d ms, %d bytes in %d ms%n",
            wiped ? "disk lost" : "old disk", changes, one.ms, one.bytes, CATCH_UP_MS);
        assertThat(one.ms, lessThanOrEqualTo(CATCH_UP_MS));
        assertThat(one.bytes, lessThan(CATCH_UP_BYTES));
        all.add(one);
      }
      long growth = all.get(3).bytes - all.get(0).bytes;
      assertThat("growth over 1,000 changes", growth, lessThan(CATCH_UP_NOISE_BYTES));
    }
  }

  @Test
  void membersComeAndGoThroughHundredsOfChanges() {
    World world = started();
    world.gateway("c1");
    long worst = 0;
    int restarts = 0;
    int wipes = 0;
    while (edition < 320) {
      String node = "n" + (1 + restarts % 3);
      boolean wipe = restarts % 4 == 3;
      if (wipe) {
        world.wipe(node);
        wipes++;
      } else {
        world.kill(node);
      }
      change(world, 24);
      worst = Math.max(worst, catchUp(world, node).ms);
      restarts++;
    }
    ConfigWatcher gateway = world.gateways.get("c1");
    assertThat(world.until(CATCH_UP_MS, () -> gateway.config().edition() == edition), is(true));
    System.out.printf(
        "%d changes, %d restarts, %d of them without their disk: current after %d ms at most%n",
        edition, restarts, wipes, worst);
    assertThat(wipes, greaterThan(2));
    assertThat(world.net.handlerFaults().size(), is(0));
  }

  @Test
  void whatIsKeptIsLevelAfterAThousandChanges() {
    World world = started();
    change(world, 1_100);
    long[] bytes = new long[3];
    int[] records = new int[3];
    for (int i = 0; i < 3; i++) {
      bytes[i] = world.disks.get("n" + (i + 1)).bytesOnDisk();
      records[i] = records(world.disks.get("n" + (i + 1)));
    }
    change(world, 400);
    for (int i = 0; i < 3; i++) {
      SimDisk disk = world.disks.get("n" + (i + 1));
      System.out.printf(
          "n%d: %d records of %d bytes after 1,100 changes, %d of %d after 1,500%n",
          i + 1, records[i], bytes[i], records(disk), disk.bytesOnDisk());
      assertThat(records(disk), is(records[i]));
      assertThat((double) disk.bytesOnDisk(), lessThan(bytes[i] * 1.02));
    }
  }

  private static int records(SimDisk disk) {
    int count = 0;
    for (String name : disk.names("")) {
      count += name.isEmpty() ? 0 : 1;
    }
    return count;
  }

  /** It reaches a gateway and no voter: what it has on its disk is not what is in force. */
  @Test
  void anOldDiskAloneServesNothing() {
    World world = started();
    change(world, 5);
    long old = edition;
    world.kill("n3");
    change(world, 300);
    world.controlPlane("n3", false);
    for (String voter : List.of("n1", "n2")) {
      world.net.cutBoth(world.address("n3"), world.address(voter));
    }
    world.gateway("c1");
    for (String voter : List.of("n1", "n2")) {
      world.net.cutBoth(world.address("c1"), world.address(voter));
    }
    ControlPlaneNode alone = world.offices.get("n3");
    for (int second = 0; second < 20; second++) {
      assertThat(world.read("n3"), is("503"));
      assertThat(world.replace("n3", old, edition + 5), is(503));
      assertThat("repeated", world.replace("n3", old - 1, old), is(503));
      assertThat(world.gateways.get("c1").config(), nullValue());
      assertThat(alone.committedConfig(), nullValue());
    }
    world.net.healAll();
    assertThat(world.until(CATCH_UP_MS, () -> current(world, "n3")), is(true));
    assertThat("repeated", world.replace("n3", old - 1, old), is(200));
    assertThat(world.replace("n3", old, edition + 5), is(412));
    ConfigWatcher gateway = world.gateways.get("c1");
    assertThat(
        world.until(
            CATCH_UP_MS, () -> gateway.config() != null && gateway.config().edition() == edition),
        is(true));
  }

  /** The one with an old disk and one that is up to date are a majority: the newer value counts. */
  @Test
  void aMajorityWithAnOldDiskGoesOnFromTheNewestChange() {
    World world = started();
    change(world, 5);
    world.kill("n3");
    change(world, 300);
    world.kill("n1");
    world.controlPlane("n3", false);
    assertThat(world.replaceAnywhere(edition - 1, edition + 1), is(412));
    change(world, 1);
    assertThat(world.until(CATCH_UP_MS, () -> current(world, "n3")), is(true));
  }

  /** Each loses its disk, one after the other: the term only rises. */
  @Test
  void theTermOfTheSingletonLeaseOutlivesAllDisks() {
    World world = started();
    long highest = 0;
    List<Long> terms = new ArrayList<>();
    for (int round = 0; round < 9; round++) {
      long before = highest;
      assertThat("a holder", world.until(15_000, () -> term(world) > 0), is(true));
      highest = term(world);
      assertThat(highest, greaterThanOrEqualTo(before));
      terms.add(highest);
      String node = holder(world);
      world.wipe(node);
      long held = highest;
      assertThat("the next one's", world.until(15_000, () -> term(world) > held), is(true));
      catchUp(world, node);
    }
    System.out.println("terms over nine lost disks: " + terms);
    assertThat(terms.get(8), greaterThan(terms.get(0)));
  }

  private static String holder(World world) {
    for (String node : world.offices.keySet()) {
      if (alive(world, node) && world.offices.get(node).lease.term() > 0) {
        return node;
      }
    }
    return null;
  }

  private static long term(World world) {
    String node = holder(world);
    return node == null ? 0 : world.offices.get(node).lease.term();
  }

  private static boolean alive(World world, String node) {
    return world.net.nodeAt(world.address(node)) != null;
  }
}
