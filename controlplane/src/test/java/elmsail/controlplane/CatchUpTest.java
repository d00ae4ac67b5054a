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
class CatchUpTest {
  /** From the start of a process until it has all that a majority has. */
  private static final long CATCH_UP_MS = 4_900;

  /** What a member that comes back may send and receive until it has caught up. */
  private static final long CATCH_UP_BYTES = 150_000;

  /** What one run differs from another by the times at which it reads and is read. */
  private static final long CATCH_UP_NOISE_BYTES = 30_000;

  private long edition;
  private int seed;

  private SimulatedCluster started() {
    SimulatedCluster cluster = new SimulatedCluster(++seed, 3);
    edition = 0;
    cluster.net.delay(1, 15);
    for (int i = 1; i <= 3; i++) {
      cluster.controlPlane("n" + i, true);
    }
    change(cluster, 1);
    return cluster;
  }

  private void change(SimulatedCluster cluster, int times) {
    for (int i = 0; i < times; i++) {
      assertThat(cluster.replaceAnywhere(edition, edition + 1), is(200));
      edition++;
    }
  }

  private boolean current(SimulatedCluster cluster, String node) {
    byte[] known = cluster.controlPlaneNodes.get(node).committedConfigBytes();
    return known != null && ConfigHistory.decode(known).version() == edition;
  }

  private record CaughtUp(long ms, long bytes) {}

  /** Starts the node and waits until it gives out the newest configuration. */
  private CaughtUp catchUp(SimulatedCluster cluster, String node) {
    long begun = cluster.timers.now();
    cluster.net.countBytes(cluster.address(node));
    cluster.controlPlane(node, false);
    assertThat(cluster.awaitWithin(CATCH_UP_MS, () -> current(cluster, node)), is(true));
    long ms = cluster.timers.now() - begun;
    // A wiped one copies the records, which its own reads do not wait for.
    cluster.timers.advance(CATCH_UP_MS - ms);
    long bytes = cluster.net.countedBytes();
    assertThat(cluster.read(node), is(SimulatedCluster.config(edition)));
    return new CaughtUp(ms, bytes);
  }

  private CaughtUp missed(int changes, boolean wiped) {
    SimulatedCluster cluster = started();
    // From here on the history of changes has its full length.
    change(cluster, ConfigHistory.MAX_CHANGES);
    if (wiped) {
      cluster.wipe("n3");
    } else {
      cluster.kill("n3");
    }
    change(cluster, changes);
    CaughtUp caughtUp = catchUp(cluster, "n3");
    // It counts again: with it the system bears the loss of another.
    cluster.kill("n1");
    change(cluster, 3);
    assertThat(cluster.awaitWithin(CATCH_UP_MS, () -> current(cluster, "n3")), is(true));
    return caughtUp;
  }

  @Test
  void catchUpCostDoesNotGrowWithMissedChanges() {
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
  void restartedNodesCatchUpThroughHundredsOfChanges() {
    SimulatedCluster cluster = started();
    cluster.gateway("c1");
    long worst = 0;
    int restarts = 0;
    int wipes = 0;
    while (edition < 320) {
      String node = "n" + (1 + restarts % 3);
      boolean wipe = restarts % 4 == 3;
      if (wipe) {
        cluster.wipe(node);
        wipes++;
      } else {
        cluster.kill(node);
      }
      change(cluster, 24);
      worst = Math.max(worst, catchUp(cluster, node).ms);
      restarts++;
    }
    ConfigWatcher gateway = cluster.gateways.get("c1");
    assertThat(
        cluster.awaitWithin(CATCH_UP_MS, () -> gateway.config().version() == edition), is(true));
    System.out.printf(
        "%d changes, %d restarts, %d of them without their disk: current after %d ms at most%n",
        edition, restarts, wipes, worst);
    assertThat(wipes, greaterThan(2));
    assertThat(cluster.net.handlerFaults().size(), is(0));
  }

  @Test
  void storedBytesAreLevelAfterAThousandChanges() {
    SimulatedCluster cluster = started();
    change(cluster, 1_100);
    long[] bytes = new long[3];
    int[] records = new int[3];
    for (int i = 0; i < 3; i++) {
      bytes[i] = cluster.disks.get("n" + (i + 1)).bytesOnDisk();
      records[i] = records(cluster.disks.get("n" + (i + 1)));
    }
    change(cluster, 400);
    for (int i = 0; i < 3; i++) {
      SimDisk disk = cluster.disks.get("n" + (i + 1));
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
  void nodeWithAnOldDiskAloneServesNothing() {
    SimulatedCluster cluster = started();
    change(cluster, 5);
    long old = edition;
    cluster.kill("n3");
    change(cluster, 300);
    cluster.controlPlane("n3", false);
    for (String voter : List.of("n1", "n2")) {
      cluster.net.cutBoth(cluster.address("n3"), cluster.address(voter));
    }
    cluster.gateway("c1");
    for (String voter : List.of("n1", "n2")) {
      cluster.net.cutBoth(cluster.address("c1"), cluster.address(voter));
    }
    ControlPlaneNode alone = cluster.controlPlaneNodes.get("n3");
    for (int second = 0; second < 20; second++) {
      assertThat(cluster.read("n3"), is("503"));
      assertThat(cluster.replace("n3", old, edition + 5), is(503));
      assertThat("repeated", cluster.replace("n3", old - 1, old), is(503));
      assertThat(cluster.gateways.get("c1").config(), nullValue());
      assertThat(alone.committedConfigBytes(), nullValue());
    }
    cluster.net.healAll();
    assertThat(cluster.awaitWithin(CATCH_UP_MS, () -> current(cluster, "n3")), is(true));
    assertThat("repeated", cluster.replace("n3", old - 1, old), is(200));
    assertThat(cluster.replace("n3", old, edition + 5), is(412));
    ConfigWatcher gateway = cluster.gateways.get("c1");
    assertThat(
        cluster.awaitWithin(
            CATCH_UP_MS, () -> gateway.config() != null && gateway.config().version() == edition),
        is(true));
  }

  /** The one with an old disk and one that is up to date are a majority: the newer value counts. */
  @Test
  void majorityWithAnOldDiskContinuesFromTheNewestChange() {
    SimulatedCluster cluster = started();
    change(cluster, 5);
    cluster.kill("n3");
    change(cluster, 300);
    cluster.kill("n1");
    cluster.controlPlane("n3", false);
    assertThat(cluster.replaceAnywhere(edition - 1, edition + 1), is(412));
    change(cluster, 1);
    assertThat(cluster.awaitWithin(CATCH_UP_MS, () -> current(cluster, "n3")), is(true));
  }

  /** Each loses its disk, one after the other: the term only rises. */
  @Test
  void leaseTermSurvivesTheLossOfEachDisk() {
    SimulatedCluster cluster = started();
    long highest = 0;
    List<Long> terms = new ArrayList<>();
    for (int round = 0; round < 9; round++) {
      long before = highest;
      assertThat("a holder", cluster.awaitWithin(15_000, () -> term(cluster) > 0), is(true));
      highest = term(cluster);
      assertThat(highest, greaterThanOrEqualTo(before));
      terms.add(highest);
      String node = holder(cluster);
      cluster.wipe(node);
      long held = highest;
      assertThat(
          "the next one's", cluster.awaitWithin(15_000, () -> term(cluster) > held), is(true));
      catchUp(cluster, node);
    }
    System.out.println("terms over nine lost disks: " + terms);
    assertThat(terms.get(8), greaterThan(terms.get(0)));
  }

  private static String holder(SimulatedCluster cluster) {
    for (String node : cluster.controlPlaneNodes.keySet()) {
      if (alive(cluster, node) && cluster.controlPlaneNodes.get(node).leaseTerm() > 0) {
        return node;
      }
    }
    return null;
  }

  private static long term(SimulatedCluster cluster) {
    String node = holder(cluster);
    return node == null ? 0 : cluster.controlPlaneNodes.get(node).leaseTerm();
  }

  private static boolean alive(SimulatedCluster cluster, String node) {
    return cluster.net.nodeAt(cluster.address(node)) != null;
  }
}
