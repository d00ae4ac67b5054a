package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import elmsail.consensus.Register;
import elmsail.consensus.VoterSets;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * A writer increments counters in the job stores while stores are lost, wiped, frozen,
 * decommissioned and added, one fault at a time; sometimes a control-plane node is killed together
 * with a store. All acknowledged increments must be read back at the end. A machine that is
 * reported as delivered is removed at once, so the report must not come too early.
 */
class JobStoreVotersScenarioTest {
  private static final int SEED_COUNT = 6;
  private static final int KEY_COUNT = 4;

  private SimulatedCluster cluster;
  private Random random;
  private Register writer;
  private final long[] acknowledged = new long[KEY_COUNT];
  private final boolean[] isWriteInFlight = new boolean[KEY_COUNT];
  private final List<String> runningStores = new ArrayList<>();
  private final Set<String> removed = new HashSet<>();
  private int startedStores;
  private int slotMoves;

  @Test
  void acknowledgedRecordsSurviveRandomStoreFaults() {
    for (int seed = 1; seed <= SEED_COUNT; seed++) {
      runScenario(seed);
    }
    assertThat("slot moves", slotMoves, greaterThan(SEED_COUNT));
  }

  private void runScenario(int seed) {
    cluster = new SimulatedCluster(seed, 3);
    random = new Random(seed);
    runningStores.clear();
    removed.clear();
    startedStores = 0;
    cluster.net.delay(1, 10);
    for (int i = 1; i <= 3; i++) {
      cluster.startControlPlane("n" + i, true);
    }
    for (int i = 0; i < 4; i++) {
      startStore(true);
    }
    writer = new JobStoreClient(cluster, () -> runningStores).register();
    assertThat("seed " + seed, cluster.awaitWithin(8_000, this::allSlotsVote), is(true));
    for (int i = 0; i < KEY_COUNT; i++) {
      acknowledged[i] = 0;
      isWriteInFlight[i] = false;
    }
    for (int round = 0; round < 8; round++) {
      writeFor(1_000);
      injectFault(seed);
      writeFor(2_000);
      boolean voting = cluster.awaitWithin(15_000, this::allSlotsVote);
      assertThat("seed " + seed + " round " + round + " " + describeVoterSets(), voting, is(true));
    }
    cluster.timers.advance(2_000);
    for (int i = 0; i < KEY_COUNT; i++) {
      CompletableFuture<Register.VersionedValue> read = writer.read("lot/" + i, null, 2_000);
      assertThat("seed " + seed, cluster.awaitWithin(3_000, read::isDone), is(true));
      assertThat(
          "seed " + seed + " key " + i,
          counterValue(read.join().value()) >= acknowledged[i],
          is(true));
      assertThat(acknowledged[i], greaterThan(5L));
    }
  }

  private void startStore(boolean firstStart) {
    String name = "v" + ++startedStores;
    runningStores.add(name);
    cluster.startStore(name, firstStart);
  }

  private void writeFor(long ms) {
    long endMs = cluster.timers.now() + ms;
    while (cluster.timers.now() < endMs) {
      int key = random.nextInt(KEY_COUNT);
      if (!isWriteInFlight[key]) {
        isWriteInFlight[key] = true;
        long[] proposed = {0};
        writer
            .change(
                "lot/" + key,
                found -> {
                  proposed[0] = counterValue(found.value()) + 1;
                  return new Register.ProposedValue(
                      ByteBuffer.allocate(8).putLong(proposed[0]).array(), List.of());
                },
                List.of(),
                null,
                1_500)
            .whenComplete(
                (outcome, failure) -> {
                  isWriteInFlight[key] = false;
                  if (failure == null) {
                    assertThat(proposed[0], greaterThan(acknowledged[key]));
                    acknowledged[key] = proposed[0];
                  }
                });
      }
      cluster.timers.advance(20 + random.nextInt(60));
    }
  }

  private static long counterValue(byte[] value) {
    return value == null ? 0 : ByteBuffer.wrap(value).getLong();
  }

  private void injectFault(int seed) {
    String name = runningStores.get(random.nextInt(runningStores.size()));
    String before = describeVoterSets();
    switch (random.nextInt(5)) {
      case 0 -> {
        cluster.net.kill(cluster.address(name), false);
        cluster.disks.get(name).powerLoss();
        writeFor(random.nextInt(6_000));
        cluster.startStore(name, false);
      }
      case 1 -> {
        cluster.wipe(name);
        writeFor(random.nextInt(5_000));
        cluster.startStore(name, false);
      }
      case 2 -> {
        cluster.net.freeze(cluster.address(name));
        writeFor(random.nextInt(6_000));
        cluster.net.thaw(cluster.address(name));
      }
      case 3 -> {
        String controlPlane = "n" + (1 + random.nextInt(3));
        cluster.net.kill(cluster.address(controlPlane), false);
        cluster.net.kill(cluster.address(name), false);
        writeFor(7_000);
        cluster.startControlPlane(controlPlane, false);
        cluster.startStore(name, false);
      }
      default -> decommission(seed, name);
    }
    slotMoves += before.equals(describeVoterSets()) ? 0 : 1;
  }

  private void decommission(int seed, String name) {
    if (runningStores.size() < 5) {
      startStore(false);
      writeFor(1_000);
    }
    assertThat(
        "seed " + seed,
        cluster.awaitWithin(4_000, () -> cluster.beginDecommission("n1", name) == 200),
        is(true));
    String delivered = "{\"state\":\"delivered\"}";
    long end = cluster.timers.now() + 12_000;
    while (!cluster.decommissionState("n2", name).equals(delivered) && cluster.timers.now() < end) {
      writeFor(100);
    }
    assertThat("seed " + seed, cluster.decommissionState("n2", name), equalTo(delivered));
    cluster.wipe(name);
    runningStores.remove(name);
    removed.add(name);
    // Another disk may be lost right after the removal.
    String other = runningStores.get(random.nextInt(runningStores.size()));
    cluster.wipe(other);
    cluster.startStore(other, false);
  }

  private boolean allSlotsVote() {
    VoterSet newest = new VoterSet();
    for (String name : runningStores) {
      newest = VoterSets.merge(newest, cluster.stores.get(name).replica().voterSet());
    }
    for (Voter voter : newest.voters) {
      if (!runningStores.contains(voter.machine)
          || !cluster.stores.get(voter.machine).replica().isVoting()) {
        return false;
      }
    }
    return newest.voters.size() == 3;
  }

  private String describeVoterSets() {
    StringBuilder all = new StringBuilder();
    for (String name : runningStores) {
      all.append(name).append('[').append(cluster.describeJobStoreVoters(name)).append("] ");
    }
    return all.toString();
  }
}
