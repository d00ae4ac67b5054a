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
 * A writer counts at keys of the store set while stores are lost, wiped, retired and added, one
 * trouble at a time and the control-plane nodes' lease holder now and then with it: what was
 * acknowledged is read back, and a machine that was told to be delivered is removed at once.
 */
class JobStoreVotersScenarioTest {
  private static final int STORIES = 6;
  private static final int KEYS = 4;

  private SimulatedCluster cluster;
  private Random random;
  private Register writer;
  private final long[] acknowledged = new long[KEYS];
  private final boolean[] busy = new boolean[KEYS];
  private final List<String> running = new ArrayList<>();
  private final Set<String> removed = new HashSet<>();
  private int stores;
  private int slotMoves;

  @Test
  void acknowledgedRecordsSurviveRandomStoreFaults() {
    for (int seed = 1; seed <= STORIES; seed++) {
      play(seed);
    }
    assertThat("seats that moved", slotMoves, greaterThan(STORIES));
  }

  private void play(int seed) {
    cluster = new SimulatedCluster(seed, 3);
    random = new Random(seed);
    running.clear();
    removed.clear();
    stores = 0;
    cluster.net.delay(1, 10);
    for (int i = 1; i <= 3; i++) {
      cluster.controlPlane("n" + i, true);
    }
    for (int i = 0; i < 4; i++) {
      add(true);
    }
    writer = new JobStoreClient(cluster, () -> running).register();
    assertThat("seed " + seed, cluster.awaitWithin(8_000, this::allSlotsVote), is(true));
    for (int i = 0; i < KEYS; i++) {
      acknowledged[i] = 0;
      busy[i] = false;
    }
    for (int round = 0; round < 8; round++) {
      write(1_000);
      injectFault(seed);
      write(2_000);
      boolean voting = cluster.awaitWithin(15_000, this::allSlotsVote);
      assertThat("seed " + seed + " round " + round + " " + storeSet(), voting, is(true));
    }
    cluster.timers.advance(2_000);
    for (int i = 0; i < KEYS; i++) {
      CompletableFuture<Register.VersionedValue> read = writer.read("lot/" + i, null, 2_000);
      assertThat("seed " + seed, cluster.awaitWithin(3_000, read::isDone), is(true));
      assertThat(
          "seed " + seed + " key " + i, number(read.join().value()) >= acknowledged[i], is(true));
      assertThat(acknowledged[i], greaterThan(5L));
    }
  }

  private void add(boolean first) {
    String name = "v" + ++stores;
    running.add(name);
    cluster.store(name, first);
  }

  private void write(long ms) {
    long end = cluster.timers.now() + ms;
    while (cluster.timers.now() < end) {
      int key = random.nextInt(KEYS);
      if (!busy[key]) {
        busy[key] = true;
        long[] wanted = {0};
        writer
            .change(
                "lot/" + key,
                found -> {
                  wanted[0] = number(found.value()) + 1;
                  return new Register.ProposedValue(
                      ByteBuffer.allocate(8).putLong(wanted[0]).array(), List.of());
                },
                List.of(),
                null,
                1_500)
            .whenComplete(
                (held, failed) -> {
                  busy[key] = false;
                  if (failed == null) {
                    assertThat(wanted[0], greaterThan(acknowledged[key]));
                    acknowledged[key] = wanted[0];
                  }
                });
      }
      cluster.timers.advance(20 + random.nextInt(60));
    }
  }

  private static long number(byte[] value) {
    return value == null ? 0 : ByteBuffer.wrap(value).getLong();
  }

  private void injectFault(int seed) {
    String name = running.get(random.nextInt(running.size()));
    String before = storeSet();
    switch (random.nextInt(5)) {
      case 0 -> {
        cluster.net.kill(cluster.address(name), false);
        cluster.disks.get(name).powerLoss();
        write(random.nextInt(6_000));
        cluster.store(name, false);
      }
      case 1 -> {
        cluster.wipe(name);
        write(random.nextInt(5_000));
        cluster.store(name, false);
      }
      case 2 -> {
        cluster.net.freeze(cluster.address(name));
        write(random.nextInt(6_000));
        cluster.net.thaw(cluster.address(name));
      }
      case 3 -> {
        String controlPlane = "n" + (1 + random.nextInt(3));
        cluster.net.kill(cluster.address(controlPlane), false);
        cluster.net.kill(cluster.address(name), false);
        write(7_000);
        cluster.controlPlane(controlPlane, false);
        cluster.store(name, false);
      }
      default -> decommission(seed, name);
    }
    slotMoves += before.equals(storeSet()) ? 0 : 1;
  }

  private void decommission(int seed, String name) {
    if (running.size() < 5) {
      add(false);
      write(1_000);
    }
    assertThat(
        "seed " + seed,
        cluster.awaitWithin(4_000, () -> cluster.beginDecommission("n1", name) == 200),
        is(true));
    String delivered = "{\"state\":\"delivered\"}";
    long end = cluster.timers.now() + 12_000;
    while (!cluster.decommissionState("n2", name).equals(delivered) && cluster.timers.now() < end) {
      write(100);
    }
    assertThat("seed " + seed, cluster.decommissionState("n2", name), equalTo(delivered));
    cluster.wipe(name);
    running.remove(name);
    removed.add(name);
    // Right after it another disk may be lost.
    String other = running.get(random.nextInt(running.size()));
    cluster.wipe(other);
    cluster.store(other, false);
  }

  private boolean allSlotsVote() {
    VoterSet newest = new VoterSet();
    for (String name : running) {
      newest = VoterSets.merge(newest, cluster.stores.get(name).replica().voterSet());
    }
    for (Voter voter : newest.voters) {
      if (!running.contains(voter.machine)
          || !cluster.stores.get(voter.machine).replica().isVoting()) {
        return false;
      }
    }
    return newest.voters.size() == 3;
  }

  private String storeSet() {
    StringBuilder all = new StringBuilder();
    for (String name : running) {
      all.append(name).append('[').append(cluster.describeJobStoreVoters(name)).append("] ");
    }
    return all.toString();
  }
}
