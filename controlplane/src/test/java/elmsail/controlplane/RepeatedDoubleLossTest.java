package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import elmsail.consensus.Register;
import elmsail.consensus.VoterSets;
import elmsail.rpc.messages.Blob;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * In a cluster that tolerates two losses, two stores or two control-plane nodes at a time are lost
 * as soon as the previous loss is repaired, those with the oldest disks first, and also right after
 * a decommissioning. Everything acknowledged, blobs included, must still be readable at the end.
 */
class RepeatedDoubleLossTest {
  private static final int SEED_COUNT = 8;
  private static final int ROUNDS = 6;
  private static final long CATCH_UP_MS = 4_800;
  private static final byte[] BODY = new byte[9_000];

  private SimulatedCluster cluster;
  private Random random;
  private Register writer;
  private int writtenJobs;
  private int startedStores;
  private final List<String> storesOldestFirst = new ArrayList<>();
  private final List<String> controlPlaneNodesOldestFirst = new ArrayList<>();

  @Test
  void twoLossesRightAfterEachRepairLoseNoAcknowledgedState() {
    long longestRepairMs = 0;
    for (int seed = 1; seed <= SEED_COUNT; seed++) {
      start(seed);
      for (int round = 0; round < ROUNDS; round++) {
        writeJobs();
        String scenario = "seed " + seed + " round " + round;
        if (random.nextInt(3) == 0) {
          decommissionThenLoseTwo(scenario);
        } else {
          loseTwo(random.nextBoolean(), random.nextBoolean());
        }
        long restartedAtMs = cluster.timers.now();
        assertThat(
            scenario + " " + describeVoterSet(),
            cluster.awaitWithin(CATCH_UP_MS, this::allVotersVote),
            is(true));
        longestRepairMs = Math.max(longestRepairMs, cluster.timers.now() - restartedAtMs);
      }
      assertAllReadable("seed " + seed);
    }
    System.out.println(
        "all voters vote again at most " + longestRepairMs + " ms after the restarts");
  }

  private void start(int seed) {
    cluster = new SimulatedCluster(seed, 3, 2);
    random = new Random(seed);
    writtenJobs = 0;
    startedStores = 0;
    storesOldestFirst.clear();
    controlPlaneNodesOldestFirst.clear();
    cluster.net.delay(1, 8);
    for (int i = 1; i <= 5; i++) {
      cluster.startControlPlane("n" + i, true);
      controlPlaneNodesOldestFirst.add("n" + i);
    }
    for (int i = 0; i < 6; i++) {
      startStore(true);
    }
    writer = new JobStoreClient(cluster, () -> storesOldestFirst).register();
    assertThat(cluster.awaitWithin(8_000, this::allVotersVote), is(true));
    assertThat(cluster.replaceAnywhere(0, 1), is(200));
  }

  private void startStore(boolean firstStart) {
    String name = "v" + ++startedStores;
    cluster.startStore(name, firstStart);
    storesOldestFirst.add(name);
  }

  /** Writes three jobs with a body each. */
  private void writeJobs() {
    for (int i = 0; i < 3; i++) {
      Blob body = new Blob();
      body.name = "body";
      body.bytes = BODY;
      CompletableFuture<?> change =
          writer.change(
              "lot/" + writtenJobs,
              found -> new Register.ProposedValue(new byte[] {1}, List.of()),
              List.of(body),
              null,
              3_000);
      assertThat(cluster.awaitWithin(3_000, change::isDone), is(true));
      change.join();
      writtenJobs++;
    }
  }

  private void loseTwo(boolean loseStores, boolean wiped) {
    List<String> oldest = loseStores ? storesOldestFirst : controlPlaneNodesOldestFirst;
    List<String> victims = List.copyOf(oldest.subList(0, 2));
    for (String name : victims) {
      lose(name, wiped);
    }
    cluster.timers.advance(100 + random.nextInt(1_500));
    for (String name : victims) {
      if (loseStores) {
        cluster.startStore(name, false);
      } else {
        cluster.startControlPlane(name, false);
      }
      oldest.remove(name);
      oldest.add(name);
    }
  }

  private void lose(String name, boolean wiped) {
    if (wiped) {
      cluster.wipe(name);
    } else {
      cluster.net.kill(cluster.address(name), false);
      cluster.disks.get(name).powerLoss();
    }
  }

  /**
   * Decommissions a store and removes it as soon as it is reported delivered; then two other stores
   * lose their disks.
   */
  private void decommissionThenLoseTwo(String scenario) {
    startStore(false);
    cluster.timers.advance(1_500);
    String leaving = storesOldestFirst.get(0);
    assertThat(
        scenario,
        cluster.awaitWithin(4_000, () -> cluster.beginDecommission("n1", leaving) == 200),
        is(true));
    String delivered = "{\"state\":\"delivered\"}";
    assertThat(
        scenario,
        cluster.awaitWithin(
            12_000, () -> cluster.decommissionState("n2", leaving).equals(delivered)),
        is(true));
    cluster.wipe(leaving);
    storesOldestFirst.remove(leaving);
    loseTwo(true, true);
  }

  private boolean allVotersVote() {
    VoterSet newest = new VoterSet();
    for (String name : storesOldestFirst) {
      newest = VoterSets.merge(newest, cluster.stores.get(name).replica().voterSet());
    }
    TreeSet<String> voting = new TreeSet<>();
    for (Voter voter : newest.voters) {
      if (storesOldestFirst.contains(voter.machine)
          && cluster.stores.get(voter.machine).replica().isVoting()
          && cluster.disks.get(voter.machine).instanceId() == voter.instanceId) {
        voting.add(voter.machine);
      }
    }
    return voting.size() == 5
        && cluster.allControlPlaneVotersVote(
            controlPlaneNodesOldestFirst.get(controlPlaneNodesOldestFirst.size() - 1));
  }

  private String describeVoterSet() {
    return cluster.describeJobStoreVoters(storesOldestFirst.get(0));
  }

  private void assertAllReadable(String scenario) {
    for (int i = 0; i < writtenJobs; i++) {
      CompletableFuture<Register.VersionedValue> value = writer.read("lot/" + i, null, 2_000);
      assertThat(scenario, cluster.awaitWithin(3_000, value::isDone), is(true));
      assertThat(scenario + " job " + i, value.join().value(), equalTo(new byte[] {1}));
      CompletableFuture<byte[]> body = writer.readBlob("lot/" + i, "body", 2_000);
      assertThat(scenario, cluster.awaitWithin(3_000, body::isDone), is(true));
      assertThat(scenario + " body " + i, body.join().length, is(BODY.length));
    }
    String last = controlPlaneNodesOldestFirst.get(controlPlaneNodesOldestFirst.size() - 1);
    assertThat(
        scenario,
        cluster.awaitWithin(2_000, () -> cluster.read(last).equals(SimulatedCluster.config(1))),
        is(true));
  }
}
