package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import elmsail.batch.ItemServers.RunOutcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Guards against items that stay without a run after faults have ended, although servers have
 * capacity. The requirements count a job as lost if its items idle for 5 s without faults. The
 * faults are cut links, a gateway that crashes with its jobs, and runs that end with any outcome.
 */
class IdleItemsTest {
  private static final int GATEWAYS = 3;
  private static final int JOBS = 4;
  private static final int ITEMS_PER_JOB = 12;
  private static final int CAPACITY = 6;
  private static final long FAULT_PHASE_MS = 6_000;
  private static final long STEP_MS = 20;

  /** A takeover starts 2 s or more after the last heartbeat; the requirements allow 5 s. */
  private static final long MAX_IDLE_MS = 4_000;

  private static final long MAX_RECOVERY_MS = 20_000;

  private SimBatchCluster cluster;
  private Random random;
  private SimBatchCluster.Gateway crashedGateway;

  private void submitJobs(long seed) {
    cluster = new SimBatchCluster(seed, GATEWAYS, 1_000_000);
    random = new Random(seed);
    crashedGateway = null;
    for (SimBatchCluster.Gateway gateway : cluster.gateways) {
      gateway.servers.capacity = CAPACITY;
    }
    for (int job = 0; job < JOBS; job++) {
      assertThat(
          cluster.status(cluster.submit(job % GATEWAYS, "j" + job, ITEMS_PER_JOB, 10)), is(202));
    }
  }

  private void injectFaults() {
    for (long end = cluster.timers.now() + FAULT_PHASE_MS; cluster.timers.now() < end; ) {
      cluster.timers.advance(STEP_MS);
      endRandomRuns();
      if (random.nextInt(40) == 0) {
        cutOrRestoreRandomLink();
      }
      if (crashedGateway == null && random.nextInt(400) == 0) {
        crashedGateway = cluster.gateways.get(random.nextInt(GATEWAYS));
        crashedGateway.up = false;
        crashedGateway.servers.closeConnections();
      }
    }
  }

  private void endRandomRuns() {
    for (SimBatchCluster.Gateway gateway : cluster.gateways) {
      for (SimServers.Run run : new ArrayList<>(gateway.servers.runs)) {
        if (gateway.up && !run.ended && random.nextInt(30) == 0) {
          endWithRandomOutcome(run);
        }
      }
    }
  }

  private void endWithRandomOutcome(SimServers.Run run) {
    switch (random.nextInt(6)) {
      case 0 -> run.end(RunOutcome.NOT_RUN);
      case 1 -> run.end(RunOutcome.OUTCOME_UNKNOWN);
      case 2 -> run.end(RunOutcome.FAILED);
      default -> run.complete();
    }
  }

  private void cutOrRestoreRandomLink() {
    String gateway = cluster.gateways.get(random.nextInt(GATEWAYS)).address;
    String other =
        random.nextBoolean()
            ? cluster.stores.get(random.nextInt(cluster.stores.size())).address
            : cluster.gateways.get(random.nextInt(GATEWAYS)).address;
    cluster.setLinkCut(gateway, other, random.nextInt(3) > 0);
  }

  private void heal() {
    cluster.cutLinks.clear();
    for (SimBatchCluster.Gateway gateway : cluster.gateways) {
      gateway.servers.runs.forEach(SimServers.Run::complete);
      gateway.servers.serviceTimeMs = 40;
    }
  }

  private int liveGatewayIndex() {
    return cluster.gateways.get(0) == crashedGateway ? 1 : 0;
  }

  private boolean hasRun(String item) {
    return cluster.gateways.stream()
        .filter(gateway -> gateway.up)
        .flatMap(gateway -> gateway.servers.runs.stream())
        .anyMatch(run -> run.item.id().equals(item) && !run.ended && !run.cancelled);
  }

  private List<String> itemsWithoutResult() {
    List<String> withoutResult = new ArrayList<>();
    for (int job = 0; job < JOBS; job++) {
      String results = cluster.read(liveGatewayIndex(), "j" + job, 0);
      assertThat(results.substring(0, 3), is("200"));
      for (int item = 0; item < ITEMS_PER_JOB; item++) {
        String id = "j" + job + "-" + item;
        if (!results.contains("\"id\":\"" + id + "\"")) {
          withoutResult.add(id);
        }
      }
    }
    return withoutResult;
  }

  /** Waits until all items have a result; returns the longest time that any item had no run. */
  private long longestIdleMs(long seed) {
    Map<String, Long> lastBusyAt = new HashMap<>();
    long healedAt = cluster.timers.now();
    long longestMs = 0;
    List<String> withoutResult = itemsWithoutResult();
    while (!withoutResult.isEmpty()) {
      assertThat(
          "seed " + seed + ", items without result: " + withoutResult,
          cluster.timers.now() - healedAt,
          lessThanOrEqualTo(MAX_RECOVERY_MS));
      for (String item : withoutResult) {
        if (hasRun(item)) {
          lastBusyAt.put(item, cluster.timers.now());
        }
        long idleMs = cluster.timers.now() - lastBusyAt.getOrDefault(item, healedAt);
        longestMs = Math.max(longestMs, idleMs);
      }
      cluster.timers.advance(STEP_MS);
      withoutResult = itemsWithoutResult();
    }
    return longestMs;
  }

  @Test
  void everyItemWithoutResultIsRunAgainInTimeAfterFaultsEnd() {
    long longestMs = 0;
    int crashes = 0;
    int unfinishedItems = 0;
    for (long seed = 0; seed < 60; seed++) {
      submitJobs(seed);
      injectFaults();
      heal();
      unfinishedItems += itemsWithoutResult().size();
      longestMs = Math.max(longestMs, longestIdleMs(seed));
      crashes += crashedGateway == null ? 0 : 1;
    }
    assertThat("items without result when the faults ended", unfinishedItems, greaterThan(60));
    assertThat("crashed gateways", crashes, greaterThan(10));
    assertThat("longest time without a run, in ms", longestMs, lessThanOrEqualTo(MAX_IDLE_MS));
    System.out.println(
        unfinishedItems
            + " items without result when the faults ended, "
            + crashes
            + " gateway crashes, longest time without a run: "
            + longestMs
            + " ms");
  }
}
