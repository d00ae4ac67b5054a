package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import elmsail.controlplane.ConfigChangeScenario.ChangeRequest;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Configuration changes that several operators send to several nodes concurrently, with lost
 * replies, repeats, partitions, and killed and wiped nodes. Guards against two committed changes on
 * one base version, and against final replies (200, 400, 412) that contradict the committed
 * history.
 */
class ConcurrentConfigChangesTest {
  private static final int NODES = 3;
  private static final int SEEDS = 20;
  private static final long SETTLE_MS = 20_000;

  @Test
  void oneOfEightConcurrentChangesIsCommitted() {
    int unknownOutcomes = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      ConfigChangeScenario scenario =
          ConfigChangeScenario.started("eight concurrent changes", seed, NODES);
      Set<ChangeRequest> requests = new LinkedHashSet<>();
      for (int i = 0; i < 8; i++) {
        ChangeRequest request = ConfigChangeScenario.replacement(1, 2 + i, "x");
        requests.add(request);
        scenario.send(request, "n" + (1 + i % NODES));
      }
      ChangeRequest won = scenario.awaitSingleWinner(requests);
      assertThat(scenario.readVersion(5_000), is(won.version()));
      scenario.assertHistoryMatchesReplies();
      unknownOutcomes += scenario.outcomesUnknown;
    }
    System.out.println(
        "eight concurrent changes: " + SEEDS + " seeds, unknown outcomes " + unknownOutcomes);
  }

  @Test
  void oneOfTwoChangesToTheSameVersionIsCommitted() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      ConfigChangeScenario scenario = ConfigChangeScenario.started("same version", seed, NODES);
      ChangeRequest first = ConfigChangeScenario.replacement(1, 5, "one");
      ChangeRequest second = ConfigChangeScenario.replacement(1, 5, "other");
      scenario.send(first, "n1");
      scenario.send(second, "n2");
      ChangeRequest winner = scenario.awaitSingleWinner(Set.of(first, second));
      ChangeRequest loser = winner.equals(first) ? second : first;
      ChangeRequest next = ConfigChangeScenario.replacement(5, 6, "");
      scenario.send(next);
      assertThat(scenario.retryUntilFinalReplies(Set.of(next), SETTLE_MS, () -> {}), is(true));
      assertThat(scenario.resend(winner, SETTLE_MS), is(200));
      assertThat(scenario.resend(loser, SETTLE_MS), is(412));
      scenario.assertHistoryMatchesReplies();
    }
  }

  @Test
  void sameBodyOnTwoBasesIsNotCommittedTwice() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      ConfigChangeScenario scenario = ConfigChangeScenario.started("two bases", seed, NODES);
      ChangeRequest mine = ConfigChangeScenario.replacement(1, 9, "same");
      ChangeRequest first = ConfigChangeScenario.replacement(1, 3, "");
      ChangeRequest between = ConfigChangeScenario.replacement(3, 9, "same");
      scenario.send(first);
      assertThat(scenario.retryUntilFinalReplies(Set.of(first), SETTLE_MS, () -> {}), is(true));
      scenario.send(between, "n1");
      scenario.send(mine, "n2");
      assertThat(
          scenario.retryUntilFinalReplies(Set.of(mine, between), SETTLE_MS, () -> {}), is(true));
      assertThat(scenario.committed.contains(between), is(true));
      assertThat(scenario.resend(mine, SETTLE_MS), is(412));
      scenario.assertHistoryMatchesReplies();
    }
  }

  @Test
  void sameChangeAtAllNodesIsAcknowledgedByAll() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      ConfigChangeScenario scenario = ConfigChangeScenario.started("same change", seed, NODES);
      ChangeRequest request = ConfigChangeScenario.replacement(1, 4, "");
      for (int i = 1; i <= NODES; i++) {
        scenario.send(request, "n" + i);
      }
      assertThat(scenario.retryUntilFinalReplies(Set.of(request), SETTLE_MS, () -> {}), is(true));
      scenario.collectReplies(2_000);
      assertThat(scenario.committed.contains(request), is(true));
      assertThat(scenario.readVersion(5_000), is(4L));
      scenario.assertHistoryMatchesReplies();
    }
  }

  @Test
  void eachChangeHasOneFinalReplyWhenMostRepliesAreLost() {
    int lost = 0;
    int committed = 0;
    for (int seed = 1; seed <= 6; seed++) {
      ConfigChangeScenario scenario = ConfigChangeScenario.started("lost replies", seed, NODES);
      scenario.replyLossRate = 0.7;
      long current = 1;
      for (int change = 0; change < 25; change++) {
        Set<ChangeRequest> requests = new LinkedHashSet<>();
        int rivals = 1 + scenario.random.nextInt(3);
        for (int i = 0; i < rivals; i++) {
          requests.add(
              ConfigChangeScenario.replacement(
                  current, current + 1 + scenario.random.nextInt(3), "v" + i));
        }
        requests.forEach(scenario::send);
        current = scenario.awaitSingleWinner(requests).version();
      }
      scenario.assertHistoryMatchesReplies();
      lost += scenario.repliesLost;
      committed += scenario.committed.size();
    }
    System.out.println("lost replies: committed " + committed + ", replies lost " + lost);
    assertThat(lost, greaterThan(2 * committed));
  }

  @Test
  void committedChangeIsAcknowledgedAgainAfterManyChangesAndWipedNodes() {
    ConfigChangeScenario scenario = ConfigChangeScenario.started("old repeats", 1, NODES);
    List<ChangeRequest> committed = new ArrayList<>();
    List<ChangeRequest> lost = new ArrayList<>();
    committed.add(ConfigChangeScenario.replacement(0, 1, ""));
    for (int change = 1; change <= 310; change++) {
      ChangeRequest request = ConfigChangeScenario.replacement(change, change + 1, "a");
      scenario.send(request);
      if (change % 20 == 0) {
        ChangeRequest rival = ConfigChangeScenario.replacement(change, change + 1, "b");
        scenario.send(rival);
        ChangeRequest won = scenario.awaitSingleWinner(Set.of(request, rival));
        lost.add(won.equals(request) ? rival : request);
        committed.add(won);
      } else {
        committed.add(scenario.awaitSingleWinner(Set.of(request)));
      }
      if (change % 70 == 0) {
        String node = "n" + (1 + change / 70 % NODES);
        boolean wiped = change % 140 == 0;
        if (wiped) {
          scenario.cluster.wipe(node);
        } else {
          scenario.cluster.kill(node);
        }
        scenario.cluster.timers.advance(1_500);
        scenario.cluster.startControlPlane(node, false);
        assertThat(
            scenario.cluster.awaitWithin(10_000, () -> scenario.cluster.read(node).startsWith("{")),
            is(true));
      }
      for (int changesAgo : new int[] {1, 10, 300}) {
        if (change >= changesAgo && (change % 10 == 0 || change > 300)) {
          ChangeRequest old = committed.get(committed.size() - 1 - changesAgo);
          assertThat("after " + changesAgo + ": " + old, scenario.resend(old, SETTLE_MS), is(200));
        }
      }
    }
    for (ChangeRequest each : committed) {
      assertThat(each.toString(), scenario.resend(each, SETTLE_MS), is(200));
    }
    for (ChangeRequest each : lost) {
      assertThat(each.toString(), scenario.resend(each, SETTLE_MS), is(412));
    }
    scenario.assertHistoryMatchesReplies();
  }

  /**
   * The node that commits the change is partitioned from the other nodes at each ms of the attempt,
   * in one or both directions, so that its accept may have reached no voter, only itself, one other
   * or all. A rival change is sent before or after the repeat. Either change may be committed, but
   * all later replies must agree on the winner.
   */
  @Test
  void changeInterruptedByAPartitionHasOneOutcomeForAll() {
    int committedDespiteRival = 0;
    int lost = 0;
    int scenarios = 0;
    for (int cutAtMs = 0; cutAtMs <= 70; cutAtMs++) {
      for (int variant = 0; variant < 6; variant++) {
        ConfigChangeScenario scenario =
            ConfigChangeScenario.started(
                "partitioned at " + cutAtMs + " ms, variant " + variant, 100 + cutAtMs, NODES);
        ChangeRequest mine = ConfigChangeScenario.replacement(1, 5, "mine");
        ChangeRequest rival = ConfigChangeScenario.replacement(1, 5, "rival");
        scenario.send(mine, "n1");
        scenario.collectReplies(cutAtMs);
        partition(scenario.cluster, "n1", variant % 3);
        boolean rivalFirst = variant >= 3;
        scenario.send(rivalFirst ? rival : mine, "n2");
        scenario.collectReplies(1 + scenario.random.nextInt(30));
        scenario.send(rivalFirst ? mine : rival, "n3");
        scenario.collectReplies(1_500);
        scenario.cluster.net.healAll();
        boolean mineWon = scenario.awaitSingleWinner(Set.of(mine, rival)).equals(mine);
        assertThat(scenario.resend(mine, SETTLE_MS), is(mineWon ? 200 : 412));
        assertThat(scenario.resend(rival, SETTLE_MS), is(mineWon ? 412 : 200));
        scenario.assertHistoryMatchesReplies();
        scenarios++;
        committedDespiteRival += mineWon && rivalFirst ? 1 : 0;
        lost += mineWon ? 0 : 1;
      }
    }
    System.out.printf(
        "partition during change: %d scenarios, first change lost %d, won despite rival %d%n",
        scenarios, lost, committedDespiteRival);
    assertThat(lost, greaterThan(20));
    assertThat(committedDespiteRival, greaterThan(20));
  }

  private static void partition(SimulatedCluster cluster, String node, int variant) {
    for (int i = 1; i <= NODES; i++) {
      String other = "n" + i;
      if (other.equals(node)) {
        continue;
      }
      if (variant != 1) {
        cluster.net.cut(cluster.address(node), cluster.address(other));
      }
      if (variant != 2) {
        cluster.net.cut(cluster.address(other), cluster.address(node));
      }
    }
  }

  /** Sends up to eight changes based on or near the current version, some of them twice. */
  private static Set<ChangeRequest> sendRivals(
      ConfigChangeScenario scenario, int round, long current) {
    Set<ChangeRequest> requests = new LinkedHashSet<>();
    int rivals = 1 + scenario.random.nextInt(8);
    for (int i = 0; i < rivals; i++) {
      // Some bases are older or newer than the current version; some changes share a version.
      long base = Math.max(0, current - (scenario.random.nextInt(6) == 0 ? 1 : 0));
      base += scenario.random.nextInt(12) == 0 ? 1 : 0;
      requests.add(
          ConfigChangeScenario.replacement(
              base, base + 1 + scenario.random.nextInt(3), "v" + round + i % 4));
    }
    for (ChangeRequest request : requests) {
      scenario.send(request);
      if (scenario.random.nextInt(4) == 0) {
        scenario.send(request);
      }
    }
    return requests;
  }

  @Test
  void finalRepliesUnderFaultsAreNeverWrong() {
    int committed = 0;
    int rejected = 0;
    int unknownOutcomes = 0;
    int repeats = 0;
    int faultCount = 0;
    for (int seed = 1; seed <= 10; seed++) {
      ConfigChangeScenario scenario = ConfigChangeScenario.started("random faults", seed, NODES);
      NodeFaultInjector faults =
          new NodeFaultInjector(scenario.cluster, new Random(seed * 7L), NODES);
      scenario.replyLossRate = 0.4;
      long current = 1;
      for (int round = 0; round < 40; round++) {
        Set<ChangeRequest> requests = sendRivals(scenario, round, current);
        // Some operators give up before they receive a final reply.
        scenario.retryUntilFinalReplies(
            requests, 200 + scenario.random.nextInt(2_000), faults::step);
        if (scenario.random.nextInt(3) == 0) {
          List<ChangeRequest> all = new ArrayList<>(scenario.sent);
          ChangeRequest old = all.get(scenario.random.nextInt(all.size()));
          scenario.resend(old, 300);
          repeats++;
        }
        current = scenario.readVersion(15_000);
      }
      faults.endFault();
      scenario.collectReplies(2_000);
      // Operators that gave up retry at the end. A change whose base was never committed gets no
      // final reply.
      scenario.retryUntilFinalReplies(new LinkedHashSet<>(scenario.sent), 3_000, () -> {});
      for (ChangeRequest request : scenario.sent) {
        if (!scenario.hasFinalReply(request)) {
          scenario.resend(request, 300);
        }
      }
      scenario.assertHistoryMatchesReplies();
      committed += scenario.committed.size();
      rejected += scenario.rejected.size();
      unknownOutcomes += scenario.outcomesUnknown;
      faultCount += faults.faultCount();
    }
    System.out.printf(
        "random faults: committed %d, rejected %d, unknown %d, old repeats %d, faults %d%n",
        committed, rejected, unknownOutcomes, repeats, faultCount);
    assertThat(committed, greaterThan(200));
    assertThat(rejected, greaterThan(200));
    assertThat(faultCount, greaterThan(20));
    assertThat(repeats, lessThan(rejected + committed));
  }
}
