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
 * Once trouble has ended, no item that is not listed yet stays without a run at a server while
 * there is capacity: a job whose items idle for 5 s of calm is lost by the users' rules. Trouble is
 * cut links, a gateway that dies with its jobs, and runs that end in every way.
 */
class IdleItemsTest {
  private static final int GATEWAYS = 3;
  private static final int JOBS = 4;
  private static final int ITEMS = 12;
  private static final int CAPACITY = 6;
  private static final long TROUBLE_MS = 6_000;
  private static final long STEP_MS = 20;

  /** A runner that died is missed for 2 s and more; the rule allows 5 s. */
  private static final long MAX_IDLE_MS = 4_000;

  private static final long MAX_CALM_MS = 20_000;

  private SimBatchCluster cluster;
  private Random random;
  private SimBatchCluster.Gateway dead;

  private void begin(long seed) {
    cluster = new SimBatchCluster(seed, GATEWAYS, 1_000_000);
    random = new Random(seed);
    dead = null;
    for (SimBatchCluster.Gateway gateway : cluster.gateways) {
      gateway.servers.capacity = CAPACITY;
    }
    for (int job = 0; job < JOBS; job++) {
      assertThat(cluster.status(cluster.submit(job % GATEWAYS, "j" + job, ITEMS, 10)), is(202));
    }
  }

  private void causeTrouble() {
    for (long end = cluster.timers.now() + TROUBLE_MS; cluster.timers.now() < end; ) {
      cluster.timers.advance(STEP_MS);
      endSomeRuns();
      if (random.nextInt(40) == 0) {
        cutOrHealALink();
      }
      if (dead == null && random.nextInt(400) == 0) {
        dead = cluster.gateways.get(random.nextInt(GATEWAYS));
        dead.up = false;
        dead.servers.closeConnections();
      }
    }
  }

  private void endSomeRuns() {
    for (SimBatchCluster.Gateway gateway : cluster.gateways) {
      for (SimServers.Run run : new ArrayList<>(gateway.servers.runs)) {
        if (gateway.up && !run.ended && random.nextInt(30) == 0) {
          endSomehow(run);
        }
      }
    }
  }

  private void endSomehow(SimServers.Run run) {
    switch (random.nextInt(6)) {
      case 0 -> run.end(RunOutcome.NOT_RUN);
      case 1 -> run.end(RunOutcome.OUTCOME_UNKNOWN);
      case 2 -> run.end(RunOutcome.FAILED);
      default -> run.complete();
    }
  }

  private void cutOrHealALink() {
    String gateway = cluster.gateways.get(random.nextInt(GATEWAYS)).address;
    String other =
        random.nextBoolean()
            ? cluster.stores.get(random.nextInt(cluster.stores.size())).address
            : cluster.gateways.get(random.nextInt(GATEWAYS)).address;
    cluster.cut(gateway, other, random.nextInt(3) > 0);
  }

  private void heal() {
    cluster.cutLinks.clear();
    for (SimBatchCluster.Gateway gateway : cluster.gateways) {
      gateway.servers.runs.forEach(SimServers.Run::complete);
      gateway.servers.serviceTimeMs = 40;
    }
  }

  private int survivor() {
    return cluster.gateways.get(0) == dead ? 1 : 0;
  }

  private boolean hasRun(String item) {
    return cluster.gateways.stream()
        .filter(gateway -> gateway.up)
        .flatMap(gateway -> gateway.servers.runs.stream())
        .anyMatch(run -> run.item.id().equals(item) && !run.ended && !run.cancelled);
  }

  private List<String> unlistedItems() {
    List<String> unlisted = new ArrayList<>();
    for (int job = 0; job < JOBS; job++) {
      String results = cluster.read(survivor(), "j" + job, 0);
      assertThat(results.substring(0, 3), is("200"));
      for (int item = 0; item < ITEMS; item++) {
        String id = "j" + job + "-" + item;
        if (!results.contains("\"id\":\"" + id + "\"")) {
          unlisted.add(id);
        }
      }
    }
    return unlisted;
  }

  /** Watches until all items are listed; returns for how long one idled at most. */
  private long longestIdleMs(long seed) {
    Map<String, Long> lastBusyAt = new HashMap<>();
    long healedAt = cluster.timers.now();
    long longest = 0;
    List<String> unlisted = unlistedItems();
    while (!unlisted.isEmpty()) {
      assertThat(
          "seed " + seed + " waits for " + unlisted,
          cluster.timers.now() - healedAt,
          lessThanOrEqualTo(MAX_CALM_MS));
      for (String item : unlisted) {
        if (hasRun(item)) {
          lastBusyAt.put(item, cluster.timers.now());
        }
        long idle = cluster.timers.now() - lastBusyAt.getOrDefault(item, healedAt);
        longest = Math.max(longest, idle);
      }
      cluster.timers.advance(STEP_MS);
      unlisted = unlistedItems();
    }
    return longest;
  }

  @Test
  void noUnlistedItemIdlesAfterTroubleHasEnded() {
    long longest = 0;
    int deaths = 0;
    int leftBehind = 0;
    for (long seed = 0; seed < 60; seed++) {
      begin(seed);
      causeTrouble();
      heal();
      leftBehind += unlistedItems().size();
      longest = Math.max(longest, longestIdleMs(seed));
      deaths += dead == null ? 0 : 1;
    }
    assertThat("items unlisted when trouble ended", leftBehind, greaterThan(60));
    assertThat("gateways that died", deaths, greaterThan(10));
    assertThat("longest time without a run, in ms", longest, lessThanOrEqualTo(MAX_IDLE_MS));
    System.out.println(
        leftBehind + " items left, " + deaths + " deaths, idle for " + longest + " ms at most");
  }
}
