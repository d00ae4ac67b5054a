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
 * Hundreds of changes are committed while nodes are down. The nodes restart with their old disk or
 * with an empty one. Guards against a catch-up time or traffic that grows with the number of missed
 * changes, and against outdated state being served from an old disk.
 */
class CatchUpTest {
  /** Time limit from the start of a process until it has the state of a majority. */
  private static final long MAX_CATCH_UP_MS = 4_900;

  /** Limit of the bytes that a restarted node sends and receives until it has caught up. */
  private static final long MAX_CATCH_UP_BYTES = 150_000;

  /** Difference in traffic between two runs that is due only to the timing of reads. */
  private static final long CATCH_UP_VARIATION_BYTES = 30_000;

  private long version;
  private int seed;

  private SimulatedCluster startCluster() {
    SimulatedCluster cluster = new SimulatedCluster(++seed, 3);
    version = 0;
    cluster.net.delay(1, 15);
    for (int i = 1; i <= 3; i++) {
      cluster.startControlPlane("n" + i, true);
    }
    commitChanges(cluster, 1);
    return cluster;
  }

  private void commitChanges(SimulatedCluster cluster, int times) {
    for (int i = 0; i < times; i++) {
      assertThat(cluster.replaceAnywhere(version, version + 1), is(200));
      version++;
    }
  }

  private boolean isCurrent(SimulatedCluster cluster, String node) {
    byte[] committed = cluster.controlPlaneNodes.get(node).committedConfigBytes();
    return committed != null && ConfigHistory.decode(committed).version() == version;
  }

  private record CaughtUp(long ms, long bytes) {}

  /** Starts the node and waits until it serves the newest configuration. */
  private CaughtUp catchUp(SimulatedCluster cluster, String node) {
    long startedAtMs = cluster.timers.now();
    cluster.net.countBytes(cluster.address(node));
    cluster.startControlPlane(node, false);
    assertThat(cluster.awaitWithin(MAX_CATCH_UP_MS, () -> isCurrent(cluster, node)), is(true));
    long ms = cluster.timers.now() - startedAtMs;
    // A wiped node also copies all records, for which its own reads do not wait.
    cluster.timers.advance(MAX_CATCH_UP_MS - ms);
    long bytes = cluster.net.countedBytes();
    assertThat(cluster.read(node), is(SimulatedCluster.config(version)));
    return new CaughtUp(ms, bytes);
  }

  private CaughtUp catchUpAfterMissing(int changes, boolean wiped) {
    SimulatedCluster cluster = startCluster();
    // From here on the change history has its full length.
    commitChanges(cluster, ConfigHistory.MAX_CHANGES);
    if (wiped) {
      cluster.wipe("n3");
    } else {
      cluster.kill("n3");
    }
    commitChanges(cluster, changes);
    CaughtUp caughtUp = catchUp(cluster, "n3");
    // n3 votes again: with n3 the cluster tolerates the loss of another node.
    cluster.kill("n1");
    commitChanges(cluster, 3);
    assertThat(cluster.awaitWithin(MAX_CATCH_UP_MS, () -> isCurrent(cluster, "n3")), is(true));
    return caughtUp;
  }

  @Test
  void catchUpCostDoesNotGrowWithMissedChanges() {
    for (boolean wiped : new boolean[] {false, true}) {
      List<CaughtUp> all = new ArrayList<>();
      for (int changes : new int[] {1, 30, 300, 1_000}) {
        CaughtUp caughtUp = catchUpAfterMissing(changes, wiped);
        System.out.printf(
            "%s, %d changes missed: current after %d ms, %d bytes in %d ms%n",
            wiped ? "disk lost" : "old disk",
            changes,
            caughtUp.ms,
            caughtUp.bytes,
            MAX_CATCH_UP_MS);
        assertThat(caughtUp.ms, lessThanOrEqualTo(MAX_CATCH_UP_MS));
        assertThat(caughtUp.bytes, lessThan(MAX_CATCH_UP_BYTES));
        all.add(caughtUp);
      }
      long growth = all.get(3).bytes - all.get(0).bytes;
      assertThat(
          "growth in bytes over 1,000 missed changes", growth, lessThan(CATCH_UP_VARIATION_BYTES));
    }
  }

  @Test
  void restartedNodesCatchUpThroughHundredsOfChanges() {
    SimulatedCluster cluster = startCluster();
    cluster.startGateway("c1");
    long worst = 0;
    int restarts = 0;
    int wipes = 0;
    while (version < 320) {
      String node = "n" + (1 + restarts % 3);
      boolean wipe = restarts % 4 == 3;
      if (wipe) {
        cluster.wipe(node);
        wipes++;
      } else {
        cluster.kill(node);
      }
      commitChanges(cluster, 24);
      worst = Math.max(worst, catchUp(cluster, node).ms);
      restarts++;
    }
    ConfigWatcher gateway = cluster.gateways.get("c1");
    assertThat(
        cluster.awaitWithin(MAX_CATCH_UP_MS, () -> gateway.config().version() == version),
        is(true));
    System.out.printf(
        "%d changes, %d restarts, %d of them without their disk: current after %d ms at most%n",
        version, restarts, wipes, worst);
    assertThat(wipes, greaterThan(2));
    assertThat(cluster.net.handlerFaults().size(), is(0));
  }

  @Test
  void storageDoesNotGrowAfterAThousandChanges() {
    SimulatedCluster cluster = startCluster();
    commitChanges(cluster, 1_100);
    long[] bytes = new long[3];
    int[] records = new int[3];
    for (int i = 0; i < 3; i++) {
      bytes[i] = cluster.disks.get("n" + (i + 1)).bytesOnDisk();
      records[i] = countRecords(cluster.disks.get("n" + (i + 1)));
    }
    commitChanges(cluster, 400);
    for (int i = 0; i < 3; i++) {
      SimDisk disk = cluster.disks.get("n" + (i + 1));
      System.out.printf(
          "n%d: %d records of %d bytes after 1,100 changes, %d of %d after 1,500%n",
          i + 1, records[i], bytes[i], countRecords(disk), disk.bytesOnDisk());
      assertThat(countRecords(disk), is(records[i]));
      assertThat((double) disk.bytesOnDisk(), lessThan(bytes[i] * 1.02));
    }
  }

  private static int countRecords(SimDisk disk) {
    int count = 0;
    for (String name : disk.names("")) {
      count += name.isEmpty() ? 0 : 1;
    }
    return count;
  }

  /** The node reaches a gateway but no other voter. The configuration on its disk is outdated. */
  @Test
  void isolatedNodeWithAnOutdatedDiskServesNothing() {
    SimulatedCluster cluster = startCluster();
    commitChanges(cluster, 5);
    long outdatedVersion = version;
    cluster.kill("n3");
    commitChanges(cluster, 300);
    cluster.startControlPlane("n3", false);
    for (String voter : List.of("n1", "n2")) {
      cluster.net.cutBoth(cluster.address("n3"), cluster.address(voter));
    }
    cluster.startGateway("c1");
    for (String voter : List.of("n1", "n2")) {
      cluster.net.cutBoth(cluster.address("c1"), cluster.address(voter));
    }
    ControlPlaneNode isolatedNode = cluster.controlPlaneNodes.get("n3");
    for (int second = 0; second < 20; second++) {
      assertThat(cluster.read("n3"), is("503"));
      assertThat(cluster.replace("n3", outdatedVersion, version + 5), is(503));
      assertThat("repeated", cluster.replace("n3", outdatedVersion - 1, outdatedVersion), is(503));
      assertThat(cluster.gateways.get("c1").config(), nullValue());
      assertThat(isolatedNode.committedConfigBytes(), nullValue());
    }
    cluster.net.healAll();
    assertThat(cluster.awaitWithin(MAX_CATCH_UP_MS, () -> isCurrent(cluster, "n3")), is(true));
    assertThat("repeated", cluster.replace("n3", outdatedVersion - 1, outdatedVersion), is(200));
    assertThat(cluster.replace("n3", outdatedVersion, version + 5), is(412));
    ConfigWatcher gateway = cluster.gateways.get("c1");
    assertThat(
        cluster.awaitWithin(
            MAX_CATCH_UP_MS,
            () -> gateway.config() != null && gateway.config().version() == version),
        is(true));
  }

  /**
   * A node with an outdated disk and an up-to-date node form a majority: the newer value counts.
   */
  @Test
  void majorityWithAnOutdatedDiskContinuesFromTheNewestChange() {
    SimulatedCluster cluster = startCluster();
    commitChanges(cluster, 5);
    cluster.kill("n3");
    commitChanges(cluster, 300);
    cluster.kill("n1");
    cluster.startControlPlane("n3", false);
    assertThat(cluster.replaceAnywhere(version - 1, version + 1), is(412));
    commitChanges(cluster, 1);
    assertThat(cluster.awaitWithin(MAX_CATCH_UP_MS, () -> isCurrent(cluster, "n3")), is(true));
  }

  /** The lease holder of each round loses its disk; the term of the lease must only increase. */
  @Test
  void leaseTermNeverDecreasesWhenHoldersLoseTheirDisks() {
    SimulatedCluster cluster = startCluster();
    long highest = 0;
    List<Long> terms = new ArrayList<>();
    for (int round = 0; round < 9; round++) {
      long previousHighest = highest;
      assertThat(
          "a node holds the lease",
          cluster.awaitWithin(15_000, () -> leaseTerm(cluster) > 0),
          is(true));
      highest = leaseTerm(cluster);
      assertThat(highest, greaterThanOrEqualTo(previousHighest));
      terms.add(highest);
      String node = leaseHolder(cluster);
      cluster.wipe(node);
      long lostTerm = highest;
      assertThat(
          "another node holds the lease in a higher term",
          cluster.awaitWithin(15_000, () -> leaseTerm(cluster) > lostTerm),
          is(true));
      catchUp(cluster, node);
    }
    System.out.println("terms over nine lost disks: " + terms);
    assertThat(terms.get(8), greaterThan(terms.get(0)));
  }

  private static String leaseHolder(SimulatedCluster cluster) {
    for (String node : cluster.controlPlaneNodes.keySet()) {
      if (isRunning(cluster, node) && cluster.controlPlaneNodes.get(node).leaseTerm() > 0) {
        return node;
      }
    }
    return null;
  }

  private static long leaseTerm(SimulatedCluster cluster) {
    String node = leaseHolder(cluster);
    return node == null ? 0 : cluster.controlPlaneNodes.get(node).leaseTerm();
  }

  private static boolean isRunning(SimulatedCluster cluster, String node) {
    return cluster.net.nodeAt(cluster.address(node)) != null;
  }
}
