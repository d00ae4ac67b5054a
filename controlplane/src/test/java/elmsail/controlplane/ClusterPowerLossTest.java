package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * All control-plane nodes and all stores lose power while writes are in flight, one after the other
 * in random order or all at the same moment. As many machines as the cluster tolerates to lose also
 * lose their disks. Once all machines are back, everything acknowledged must be served within the
 * recovery time, and nothing older may be served before.
 */
class ClusterPowerLossTest {
  private static final int SEED_COUNT = 30;

  /** The recovery time allowed on the small sites. */
  private static final long MAX_RECOVERY_MS = 12_000;

  private SimulatedCluster cluster;
  private Random random;
  private final List<String> machines = new ArrayList<>();

  @ParameterizedTest
  @CsvSource({
    "4, 5, 1, 0",
    "4, 5, 1, 400",
    "4, 5, 1, 3000",
    "6, 8, 2, 0",
    "6, 8, 2, 400",
    "6, 8, 2, 3000"
  })
  void acknowledgedStateIsServedAfterPowerLossOfAll(
      int nodeCount, int storeCount, int toleratedLosses, int maxGapMs) {
    long longestRecoveryMs = 0;
    int jobsRead = 0;
    for (int seed = 1; seed <= SEED_COUNT; seed++) {
      String scenario = nodeCount + " nodes, " + maxGapMs + " ms apart, seed " + seed;
      start(seed, nodeCount, storeCount, toleratedLosses);
      ConfigChangeScenario changes = new ConfigChangeScenario(scenario, cluster, random, nodeCount);
      JobRecordWriter jobs = new JobRecordWriter(scenario, cluster, random);
      ConfigReadChecker reads = new ConfigReadChecker(scenario, changes);
      assertThat(
          scenario,
          cluster.awaitWithin(8_000, () -> !jobs.newestVoterSet().voters.isEmpty()),
          is(true));
      assertThat(scenario, cluster.replaceAnywhere(0, 1), is(200));
      ConfigChangeScenario.ChangeRequest first = ConfigChangeScenario.replacement(0, 1, "");
      changes.sent.add(first);
      changes.committed.add(first);
      runFor(1_500 + random.nextInt(500), jobs, changes, reads);
      changes.send(ConfigChangeScenario.replacement(1, 2, "a"));
      runFor(random.nextInt(80), jobs, changes, reads);
      powerOffAndRestartAll(toleratedLosses, maxGapMs, changes, reads);
      long restartedAtMs = cluster.timers.now();
      long committedCount = changes.committed.size();
      while (!isServed(committedCount) && cluster.timers.now() < restartedAtMs + MAX_RECOVERY_MS) {
        runFor(50, jobs, changes, reads);
      }
      assertThat(scenario, isServed(committedCount), is(true));
      longestRecoveryMs = Math.max(longestRecoveryMs, cluster.timers.now() - restartedAtMs);
      long remainingMs = restartedAtMs + MAX_RECOVERY_MS - cluster.timers.now();
      assertThat(
          scenario,
          cluster.awaitWithin(remainingMs, () -> votingStoreCount(jobs) == 2 * toleratedLosses + 1),
          is(true));
      jobs.assertAllJobsReadable();
      jobsRead += jobs.written();
    }
    System.out.printf(
        "%d nodes, %d stores, gaps of up to %d ms: served after %d ms, %d jobs read back%n",
        nodeCount, storeCount, maxGapMs, longestRecoveryMs, jobsRead);
    assertThat(jobsRead, greaterThan(SEED_COUNT));
  }

  private void start(int seed, int nodeCount, int storeCount, int toleratedLosses) {
    cluster = new SimulatedCluster(seed, 3, toleratedLosses);
    random = new Random(seed);
    cluster.net.delay(1, 8);
    machines.clear();
    for (int i = 1; i <= nodeCount; i++) {
      cluster.startControlPlane("n" + i, true);
      machines.add("n" + i);
    }
    for (int i = 1; i <= storeCount; i++) {
      cluster.startStore("v" + i, true);
      machines.add("v" + i);
    }
  }

  private void runFor(
      long ms, JobRecordWriter jobs, ConfigChangeScenario changes, ConfigReadChecker reads) {
    for (long end = cluster.timers.now() + ms; cluster.timers.now() < end; ) {
      jobs.step();
      reads.read("n" + (1 + random.nextInt(3)));
      changes.collectReplies(10);
      reads.checkReplies();
    }
  }

  /**
   * All machines lose power, and the tolerated number of them also lose their disks; all restart in
   * another order.
   */
  private void powerOffAndRestartAll(
      int toleratedLosses, int maxGapMs, ConfigChangeScenario changes, ConfigReadChecker reads) {
    Collections.shuffle(machines, random);
    for (int i = 0; i < machines.size(); i++) {
      if (i < toleratedLosses) {
        cluster.wipe(machines.get(i));
      } else {
        cluster.net.kill(cluster.address(machines.get(i)), false);
        cluster.disks.get(machines.get(i)).powerLoss();
      }
      changes.collectReplies(maxGapMs == 0 ? 0 : random.nextInt(maxGapMs));
      reads.checkReplies();
    }
    Collections.shuffle(machines, random);
    for (String machine : machines) {
      cluster.timers.advance(maxGapMs == 0 ? 0 : random.nextInt(maxGapMs));
      if (machine.startsWith("n")) {
        cluster.startControlPlane(machine, false);
      } else {
        cluster.startStore(machine, false);
      }
    }
  }

  /** Whether n1 serves the committed configuration, or the one whose change was in flight. */
  private boolean isServed(long committedCount) {
    String read = cluster.read("n1");
    if (!read.startsWith("{")) {
      return false;
    }
    boolean isSecondConfig = read.contains("\"edition\":2");
    if (committedCount == 2) {
      assertThat(isSecondConfig, is(true));
    }
    if (!isSecondConfig) {
      assertThat(read, equalTo(SimulatedCluster.config(1)));
    }
    return true;
  }

  private long votingStoreCount(JobRecordWriter jobs) {
    return jobs.newestVoterSet().voters.stream()
        .filter(voter -> cluster.stores.get(voter.machine).replica().isVoting())
        .filter(voter -> cluster.disks.get(voter.machine).instanceId() == voter.instanceId)
        .count();
  }
}
