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

/** The bootstrap of the control-plane voters on a simulated network and disks. */
class ControlPlaneBootstrapTest {
  private static final int SEED_COUNT = 300;

  /** Duration of a scenario in which a seed may fail; the usual time limit does not apply then. */
  private static final long SCENARIO_MS = 8_000;

  private static TreeSet<String> voterMachines(SimulatedCluster cluster, String name) {
    TreeSet<String> machines = new TreeSet<>();
    for (Voter voter : cluster.controlPlaneVoters(name).voters) {
      machines.add(voter.machine);
    }
    return machines;
  }

  private static boolean allKnowTheSameVoters(SimulatedCluster cluster, int size) {
    Set<Set<String>> knownVoterSets = new HashSet<>();
    for (String name : cluster.controlPlaneNodes.keySet()) {
      knownVoterSets.add(voterMachines(cluster, name));
    }
    return knownVoterSets.size() == 1 && knownVoterSets.iterator().next().size() == size;
  }

  private static void startSixNodes(SimulatedCluster cluster, Random random) {
    for (int i = 1; i <= 6; i++) {
      cluster.startControlPlane("n" + i, true);
      cluster.timers.advance(random.nextInt(50));
    }
  }

  @Test
  void fiveVotersBootstrapWithinTwoSecondsOnASlowDisk() {
    SimulatedCluster cluster = new SimulatedCluster(3, 3, 2);
    cluster.syncMs = 5;
    startSixNodes(cluster, new Random(3));
    assertThat(cluster.awaitWithin(2_000, () -> allKnowTheSameVoters(cluster, 5)), is(true));
    assertThat(cluster.replaceAnywhere(0, 3), is(200));
    assertThat(cluster.timers.now(), lessThan(2_500L));
  }

  /**
   * Both nodes lose power, both lose their disks, or one node loses power and the other its disk.
   */
  @Test
  void acknowledgedConfigSurvivesTwoLossesAtOnce() {
    for (int kind = 0; kind < 3; kind++) {
      SimulatedCluster cluster = new SimulatedCluster(kind, 3, 2);
      startSixNodes(cluster, new Random(kind));
      assertThat(cluster.awaitWithin(2_000, () -> allKnowTheSameVoters(cluster, 5)), is(true));
      assertThat(cluster.replaceAnywhere(0, 3), is(200));
      for (int i = 0; i < 2; i++) {
        String name = "n" + (1 + i);
        if (kind == 0 || kind == 2 && i == 0) {
          cluster.net.kill(cluster.address(name), false);
          cluster.disks.get(name).powerLoss();
        } else {
          cluster.wipe(name);
        }
      }
      assertThat(
          cluster.awaitWithin(3_000, () -> cluster.read("n3").equals(SimulatedCluster.config(3))),
          is(true));
      assertThat("kind " + kind, cluster.replace("n4", 3, 7), is(200));
      cluster.startControlPlane("n1", false);
      cluster.startControlPlane("n2", false);
      assertThat(
          cluster.awaitWithin(4_800, () -> cluster.allControlPlaneVotersVote("n3")), is(true));
      cluster.kill("n3");
      cluster.kill("n4");
      assertThat(
          cluster.awaitWithin(4_000, () -> cluster.read("n5").equals(SimulatedCluster.config(7))),
          is(true));
    }
  }

  @Test
  void disklessSeedsBootstrapVotersWithDisks() {
    SimulatedCluster cluster = new SimulatedCluster(5, 3, 1);
    for (int i = 1; i <= 6; i++) {
      cluster.startControlPlane("n" + i, true, i > 3);
    }
    assertThat(cluster.awaitWithin(2_000, () -> allKnowTheSameVoters(cluster, 3)), is(true));
    assertThat(voterMachines(cluster, "n1"), equalTo(new TreeSet<>(Set.of("n4", "n5", "n6"))));
    assertThat(cluster.status(cluster.sendReplace("n4", "0", 3)), is(200));
  }

  @Test
  void reducedVoterSetIsOddAndBootstrapsAfterDelay() {
    SimulatedCluster cluster = new SimulatedCluster(6, 3, 2);
    for (int i = 1; i <= 4; i++) {
      cluster.startControlPlane("n" + i, true);
    }
    cluster.timers.advance(2_500);
    assertThat(voterMachines(cluster, "n1"), hasSize(0));
    assertThat(cluster.awaitWithin(2_000, () -> allKnowTheSameVoters(cluster, 3)), is(true));
  }

  @Test
  void laterInstancesNeverBootstrap() {
    SimulatedCluster cluster = new SimulatedCluster(7, 3, 2);
    for (int i = 1; i <= 6; i++) {
      cluster.startControlPlane("n" + i, false);
    }
    cluster.timers.advance(10_000);
    assertThat(voterMachines(cluster, "n1"), hasSize(0));
  }

  /**
   * Messages are lost and delayed, and a seed may fail at any moment, with or without losing its
   * disk.
   */
  @Test
  void bootstrapsOnceUnderRandomFaults() {
    int bootstrapped = 0;
    int seedFailures = 0;
    for (int seed = 1; seed <= SEED_COUNT; seed++) {
      Random random = new Random(seed);
      SimulatedCluster cluster = new SimulatedCluster(seed, 3, 2);
      cluster.net.delay(1, 1 + random.nextInt(120));
      cluster.net.loss(random.nextInt(3) * 0.15);
      boolean diskless = random.nextInt(3) == 0;
      for (int i = 1; i <= 7; i++) {
        cluster.startControlPlane("n" + i, true, !(diskless && i <= 2));
        cluster.timers.advance(random.nextInt(50));
      }
      boolean seedFails = random.nextBoolean();
      long failsAtMs = cluster.timers.now() + random.nextInt(900);
      Map<Integer, Set<Long>> initialVotersBySlot = new TreeMap<>();
      Set<Integer> voterSetSizes = new HashSet<>();
      String failingSeed = "n" + (1 + random.nextInt(3));
      boolean disk = !(diskless && !failingSeed.equals("n3"));
      long restartsAtMs = failsAtMs + 300 + random.nextInt(1_000);
      long endMs = cluster.timers.now() + SCENARIO_MS;
      boolean wiped = disk && random.nextBoolean();
      while (cluster.timers.now() < endMs) {
        cluster.timers.advance(5);
        if (seedFails && failsAtMs <= cluster.timers.now()) {
          failsAtMs = Long.MAX_VALUE;
          seedFailures++;
          if (wiped) {
            cluster.wipe(failingSeed);
          } else {
            cluster.kill(failingSeed);
          }
          cluster.controlPlaneNodes.remove(failingSeed);
        }
        if (seedFails && failsAtMs == Long.MAX_VALUE && restartsAtMs <= cluster.timers.now()) {
          restartsAtMs = Long.MAX_VALUE;
          cluster.startControlPlane(failingSeed, false, disk);
        }
        for (String name : cluster.controlPlaneNodes.keySet()) {
          recordInitialVoters(cluster.controlPlaneVoters(name), initialVotersBySlot, voterSetSizes);
        }
      }
      assertThat("seed " + seed + ": " + voterSetSizes, voterSetSizes.size() < 2, is(true));
      for (Set<Long> initialVoters : initialVotersBySlot.values()) {
        assertThat("seed " + seed + ": " + initialVotersBySlot, initialVoters, hasSize(1));
      }
      bootstrapped += voterSetSizes.size();
    }
    System.out.printf(
        "%d bootstraps under loss and delay: %d succeeded, %d with a seed that failed%n",
        SEED_COUNT, bootstrapped, seedFailures);
    assertThat(seedFailures, is(not(0)));
    assertThat(bootstrapped, is(SEED_COUNT));
  }

  /** Collects the instance id of each slot's initial voter, which epochs 1 and 2 show. */
  private static void recordInitialVoters(
      VoterSet voterSet, Map<Integer, Set<Long>> initialVotersBySlot, Set<Integer> voterSetSizes) {
    for (int i = 0; i < voterSet.voters.size(); i++) {
      Voter voter = voterSet.voters.get(i);
      long first =
          voter.epoch == 1 ? voter.instanceId : voter.epoch == 2 ? voter.previousInstanceId : 0;
      if (first != 0) {
        initialVotersBySlot.computeIfAbsent(i, slot -> new HashSet<>()).add(first);
      }
      voterSetSizes.add(voterSet.voters.size());
    }
  }
}
