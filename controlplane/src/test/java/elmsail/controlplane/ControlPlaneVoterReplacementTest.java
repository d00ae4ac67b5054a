package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import elmsail.rpc.messages.Voter;
import org.junit.jupiter.api.Test;

/**
 * Control-plane voters are lost permanently, and the next voter is lost right after the repair.
 * Guards against losing committed changes, and against repairs that take too long.
 */
class ControlPlaneVoterReplacementTest {
  /** The shortest {@code catch_up_s} of all sites, less the start time of a process. */
  private static final long CATCH_UP_MS = 4_800 - 900;

  /** A power loss shorter than this does not move a voter slot. */
  private static final long SHORT_OUTAGE_MS = 2_500;

  private SimulatedCluster cluster;

  private void startVoters(int toleratedLosses, int nodeCount, int voterCount) {
    cluster = new SimulatedCluster(11, 3, toleratedLosses);
    for (int i = 1; i <= nodeCount; i++) {
      cluster.startControlPlane("n" + i, true);
    }
    assertThat(cluster.awaitWithin(2_000, () -> cluster.allControlPlaneVotersVote("n1")), is(true));
    assertThat(cluster.controlPlaneVoters("n1").voters.size(), is(voterCount));
    assertThat(cluster.replaceAnywhere(0, 1), is(200));
  }

  private String describeVoters(String name) {
    StringBuilder voters = new StringBuilder();
    for (Voter voter : cluster.controlPlaneVoters(name).voters) {
      voters.append(voters.isEmpty() ? "" : " ").append(voter.machine).append('/');
      voters.append(voter.epoch);
    }
    return voters.toString();
  }

  private void losePermanently(String name) {
    cluster.net.kill(cluster.address(name), false);
    cluster.controlPlaneNodes.remove(name);
  }

  /**
   * An empty machine at another address starts at once or later. Each voter is lost in turn, the
   * lease holder included.
   */
  @Test
  void lostVoterIsReplacedAndTheNextLossIsTolerated() {
    for (int lost = 1; lost <= 3; lost++) {
      for (long delayMs : new long[] {0, 2_000, 8_000}) {
        startVoters(1, 3, 3);
        String scenario = "n" + lost + ", " + delayMs;
        losePermanently("n" + lost);
        cluster.timers.advance(delayMs);
        long startedAtMs = cluster.timers.now();
        cluster.startControlPlane("n4", false);
        String observer = lost == 1 ? "n2" : "n1";
        assertThat(
            scenario,
            cluster.awaitWithin(CATCH_UP_MS, () -> cluster.allControlPlaneVotersVote(observer)),
            is(true));
        long repairMs = cluster.timers.now() - startedAtMs;
        System.out.println(
            "lost "
                + scenario
                + " ms until the replacement: all voters vote after "
                + repairMs
                + " ms");
        cluster.timers.advance(CATCH_UP_MS - repairMs);
        // The oldest voter is lost next: its changes from before the replacement must be at the new
        // voter.
        String oldest = lost == 1 ? "n2" : "n1";
        losePermanently(oldest);
        assertThat(
            scenario,
            cluster.awaitWithin(4_000, () -> cluster.read("n4").equals(SimulatedCluster.config(1))),
            is(true));
        assertThat(scenario, cluster.replace("n4", 1, 5), is(200));
      }
    }
  }

  @Test
  void shortPowerLossMovesNoSlot() {
    startVoters(2, 6, 5);
    String before = describeVoters("n1");
    cluster.net.kill(cluster.address("n2"), false);
    cluster.disks.get("n2").powerLoss();
    cluster.timers.advance(SHORT_OUTAGE_MS);
    cluster.startControlPlane("n2", false);
    cluster.timers.advance(5_000);
    assertThat(describeVoters("n1"), equalTo(before));
    assertThat(cluster.allControlPlaneVotersVote("n1"), is(true));
  }

  /**
   * A partitioned voter is treated like a lost one: it becomes a spare when the partition heals.
   */
  @Test
  void returningVoterIsASpareAndTakesOverTheNextSlot() {
    startVoters(1, 4, 3);
    cluster.net.isolate(cluster.address("n1"));
    assertThat(cluster.awaitWithin(8_000, () -> describeVoters("n2").contains("n4")), is(true));
    assertThat(cluster.awaitWithin(2_000, () -> cluster.allControlPlaneVotersVote("n2")), is(true));
    assertThat(cluster.replace("n2", 1, 2), is(200));
    assertThat(cluster.replace("n1", 1, 3) == 200, is(false));
    cluster.net.healAll();
    assertThat(
        cluster.awaitWithin(3_000, () -> !cluster.controlPlaneNodes.get("n1").voters().isVoting()),
        is(true));
    assertThat(
        cluster.awaitWithin(3_000, () -> describeVoters("n1").equals(describeVoters("n2"))),
        is(true));
    losePermanently("n2");
    assertThat(cluster.awaitWithin(8_000, () -> describeVoters("n3").contains("n1")), is(true));
    assertThat(cluster.awaitWithin(2_000, () -> cluster.allControlPlaneVotersVote("n3")), is(true));
    losePermanently("n3");
    assertThat(
        cluster.awaitWithin(4_000, () -> cluster.read("n1").equals(SimulatedCluster.config(2))),
        is(true));
  }

  /** Two voters at once are lost in each round, the oldest first; finally all nodes lose power. */
  @Test
  void repeatedLossesRightAfterRepairsLoseNoConfig() {
    startVoters(2, 6, 5);
    int version = 1;
    int nextNode = 7;
    for (int round = 0; round < 3; round++) {
      String first = cluster.controlPlaneVoters("n" + (nextNode - 1)).voters.get(0).machine;
      String second = cluster.controlPlaneVoters("n" + (nextNode - 1)).voters.get(1).machine;
      losePermanently(first);
      losePermanently(second);
      cluster.startControlPlane("n" + nextNode++, false);
      cluster.startControlPlane("n" + nextNode++, false);
      String observer = "n" + (nextNode - 1);
      assertThat(
          cluster.awaitWithin(2 * CATCH_UP_MS, () -> cluster.allControlPlaneVotersVote(observer)),
          is(true));
      assertThat(
          cluster.awaitWithin(4_000, () -> cluster.read(observer).startsWith("{")), is(true));
      assertThat(cluster.read(observer), equalTo(SimulatedCluster.config(version)));
      assertThat(cluster.status(cluster.sendReplace(observer, "" + version, version + 1)), is(200));
      version++;
    }
    for (String name : cluster.controlPlaneNodes.keySet()) {
      cluster.net.kill(cluster.address(name), false);
      cluster.disks.get(name).powerLoss();
    }
    for (String name : cluster.controlPlaneNodes.keySet().toArray(new String[0])) {
      cluster.startControlPlane(name, false);
    }
    String last = "n" + (nextNode - 1);
    String expected = SimulatedCluster.config(version);
    assertThat(cluster.awaitWithin(6_000, () -> cluster.read(last).equals(expected)), is(true));
  }

  @Test
  void leaseHolderReportsDegradationAndRepair() {
    for (String victim : new String[] {"n1", "n2", "n3"}) {
      startVoters(1, 3, 3);
      cluster.timers.advance(2_000);
      losePermanently(victim);
      assertThat(victim, cluster.awaitWithin(4_500, () -> degradedLeaseHolder() != null), is(true));
      RedundancyMonitor monitor = degradedLeaseHolder().controlPlaneRedundancy();
      int repairs = monitor.repairs();
      cluster.timers.advance(5_000);
      assertThat("degraded while there is no spare", monitor.isDegraded(), is(true));
      cluster.startControlPlane("n4", false);
      assertThat(cluster.awaitWithin(CATCH_UP_MS, () -> !monitor.isDegraded()), is(true));
      assertThat(cluster.allControlPlaneVotersVote("n4"), is(true));
      assertThat(monitor.repairs(), is(repairs + 1));
      assertThat(monitor.lastRepairMs(), greaterThan(5_000L));
      assertThat(monitor.lastRepairMs(), lessThan(5_000L + 4_500 + CATCH_UP_MS));
    }
  }

  /** The lease holder if it reports a missing voter; null otherwise. */
  private ControlPlaneNode degradedLeaseHolder() {
    for (ControlPlaneNode node : cluster.controlPlaneNodes.values()) {
      if (node.controlPlaneRedundancy().isDegraded()) {
        return node;
      }
    }
    return null;
  }
}
