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

/** Orders of several operators at several nodes, with lost answers, repeats, kills and wipes. */
class ConcurrentConfigChangesTest {
  private static final int NODES = 3;
  private static final int SEEDS = 20;
  private static final long SETTLE_MS = 20_000;

  @Test
  void oneOfEightConcurrentChangesIsCommitted() {
    int unclear = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      ConfigChangeScenario story = ConfigChangeScenario.started("eight at once", seed, NODES);
      Set<ChangeRequest> orders = new LinkedHashSet<>();
      for (int i = 0; i < 8; i++) {
        ChangeRequest order = ConfigChangeScenario.replacement(1, 2 + i, "x");
        orders.add(order);
        story.send(order, "n" + (1 + i % NODES));
      }
      ChangeRequest won = story.awaitSingleWinner(orders);
      assertThat(story.current(5_000), is(won.number()));
      story.finish();
      unclear += story.outcomesUnknown;
    }
    System.out.println("eight at once: " + SEEDS + " seeds, answers unclear " + unclear);
  }

  @Test
  void oneOfTwoChangesToTheSameVersionIsCommitted() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      ConfigChangeScenario story = ConfigChangeScenario.started("one number", seed, NODES);
      ChangeRequest one = ConfigChangeScenario.replacement(1, 5, "one");
      ChangeRequest other = ConfigChangeScenario.replacement(1, 5, "other");
      story.send(one, "n1");
      story.send(other, "n2");
      ChangeRequest won = story.awaitSingleWinner(Set.of(one, other));
      ChangeRequest lost = won.equals(one) ? other : one;
      ChangeRequest next = ConfigChangeScenario.replacement(5, 6, "");
      story.send(next);
      assertThat(story.retryUntilAnswered(Set.of(next), SETTLE_MS, () -> {}), is(true));
      assertThat(story.repeat(won, SETTLE_MS), is(200));
      assertThat(story.repeat(lost, SETTLE_MS), is(412));
      story.finish();
    }
  }

  @Test
  void sameBodyOnTwoBasesIsNotCommittedTwice() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      ConfigChangeScenario story = ConfigChangeScenario.started("two bases", seed, NODES);
      ChangeRequest mine = ConfigChangeScenario.replacement(1, 9, "same");
      ChangeRequest taken = ConfigChangeScenario.replacement(1, 3, "");
      ChangeRequest between = ConfigChangeScenario.replacement(3, 9, "same");
      story.send(taken);
      assertThat(story.retryUntilAnswered(Set.of(taken), SETTLE_MS, () -> {}), is(true));
      story.send(between, "n1");
      story.send(mine, "n2");
      assertThat(story.retryUntilAnswered(Set.of(mine, between), SETTLE_MS, () -> {}), is(true));
      assertThat(story.committed.contains(between), is(true));
      assertThat(story.repeat(mine, SETTLE_MS), is(412));
      story.finish();
    }
  }

  @Test
  void sameChangeAtAllNodesIsAcknowledgedByAll() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      ConfigChangeScenario story = ConfigChangeScenario.started("same order", seed, NODES);
      ChangeRequest order = ConfigChangeScenario.replacement(1, 4, "");
      for (int i = 1; i <= NODES; i++) {
        story.send(order, "n" + i);
      }
      assertThat(story.retryUntilAnswered(Set.of(order), SETTLE_MS, () -> {}), is(true));
      story.collectReplies(2_000);
      assertThat(story.committed.contains(order), is(true));
      assertThat(story.current(5_000), is(4L));
      story.finish();
    }
  }

  @Test
  void changesHaveOneFinalReplyThoughMostRepliesAreLost() {
    int lost = 0;
    int confirmed = 0;
    for (int seed = 1; seed <= 6; seed++) {
      ConfigChangeScenario story = ConfigChangeScenario.started("lost answers", seed, NODES);
      story.replyLossRate = 0.7;
      long current = 1;
      for (int change = 0; change < 25; change++) {
        Set<ChangeRequest> orders = new LinkedHashSet<>();
        int rivals = 1 + story.random.nextInt(3);
        for (int i = 0; i < rivals; i++) {
          orders.add(
              ConfigChangeScenario.replacement(
                  current, current + 1 + story.random.nextInt(3), "v" + i));
        }
        orders.forEach(story::send);
        current = story.awaitSingleWinner(orders).number();
      }
      story.finish();
      lost += story.repliesLost;
      confirmed += story.committed.size();
    }
    System.out.println("lost answers: confirmed " + confirmed + ", answers lost " + lost);
    assertThat(lost, greaterThan(2 * confirmed));
  }

  @Test
  void committedChangeIsAcknowledgedAgainAfterManyChangesAndAWipe() {
    ConfigChangeScenario story = ConfigChangeScenario.started("old repeats", 1, NODES);
    List<ChangeRequest> taken = new ArrayList<>();
    List<ChangeRequest> lost = new ArrayList<>();
    taken.add(ConfigChangeScenario.replacement(0, 1, ""));
    for (int change = 1; change <= 310; change++) {
      ChangeRequest order = ConfigChangeScenario.replacement(change, change + 1, "a");
      story.send(order);
      if (change % 20 == 0) {
        ChangeRequest rival = ConfigChangeScenario.replacement(change, change + 1, "b");
        story.send(rival);
        ChangeRequest won = story.awaitSingleWinner(Set.of(order, rival));
        lost.add(won.equals(order) ? rival : order);
        taken.add(won);
      } else {
        taken.add(story.awaitSingleWinner(Set.of(order)));
      }
      if (change % 70 == 0) {
        String node = "n" + (1 + change / 70 % NODES);
        boolean wiped = change % 140 == 0;
        if (wiped) {
          story.cluster.wipe(node);
        } else {
          story.cluster.kill(node);
        }
        story.cluster.timers.advance(1_500);
        story.cluster.controlPlane(node, false);
        assertThat(
            story.cluster.awaitWithin(10_000, () -> story.cluster.read(node).startsWith("{")),
            is(true));
      }
      for (int back : new int[] {1, 10, 300}) {
        if (change >= back && (change % 10 == 0 || change > 300)) {
          ChangeRequest old = taken.get(taken.size() - 1 - back);
          assertThat("after " + back + ": " + old, story.repeat(old, SETTLE_MS), is(200));
        }
      }
    }
    for (ChangeRequest each : taken) {
      assertThat(each.toString(), story.repeat(each, SETTLE_MS), is(200));
    }
    for (ChangeRequest each : lost) {
      assertThat(each.toString(), story.repeat(each, SETTLE_MS), is(412));
    }
    story.finish();
  }

  /**
   * The node that makes the change is cut off at each ms of it, one way or both, so that its accept
   * may have reached nobody, itself, one other or all; a rival comes before or after the repeat.
   */
  @Test
  void changePartitionedHalfwayIsCommittedOrLostForAll() {
    int finished = 0;
    int lost = 0;
    int stories = 0;
    for (int cutAt = 0; cutAt <= 70; cutAt++) {
      for (int variant = 0; variant < 6; variant++) {
        ConfigChangeScenario story =
            ConfigChangeScenario.started(
                "cut at " + cutAt + " ms, variant " + variant, 100 + cutAt, NODES);
        ChangeRequest mine = ConfigChangeScenario.replacement(1, 5, "mine");
        ChangeRequest rival = ConfigChangeScenario.replacement(1, 5, "rival");
        story.send(mine, "n1");
        story.collectReplies(cutAt);
        cut(story.cluster, "n1", variant % 3);
        boolean rivalFirst = variant >= 3;
        story.send(rivalFirst ? rival : mine, "n2");
        story.collectReplies(1 + story.random.nextInt(30));
        story.send(rivalFirst ? mine : rival, "n3");
        story.collectReplies(1_500);
        story.cluster.net.healAll();
        boolean mineWon = story.awaitSingleWinner(Set.of(mine, rival)).equals(mine);
        assertThat(story.repeat(mine, SETTLE_MS), is(mineWon ? 200 : 412));
        assertThat(story.repeat(rival, SETTLE_MS), is(mineWon ? 412 : 200));
        story.finish();
        stories++;
        finished += mineWon && rivalFirst ? 1 : 0;
        lost += mineWon ? 0 : 1;
      }
    }
    System.out.printf(
        "cut off halfway: %d stories, first try lost %d, kept although a rival came first %d%n",
        stories, lost, finished);
    assertThat(lost, greaterThan(20));
    assertThat(finished, greaterThan(20));
  }

  private static void cut(SimulatedCluster cluster, String node, int how) {
    for (int i = 1; i <= NODES; i++) {
      String other = "n" + i;
      if (other.equals(node)) {
        continue;
      }
      if (how != 1) {
        cluster.net.cut(cluster.address(node), cluster.address(other));
      }
      if (how != 2) {
        cluster.net.cut(cluster.address(other), cluster.address(node));
      }
    }
  }

  @Test
  void finalRepliesUnderFaultsAreNeverWrong() {
    int confirmed = 0;
    int refused = 0;
    int unclear = 0;
    int repeats = 0;
    int troubles = 0;
    for (int seed = 1; seed <= 10; seed++) {
      ConfigChangeScenario story = ConfigChangeScenario.started("trouble", seed, NODES);
      NodeFaultInjector trouble =
          new NodeFaultInjector(story.cluster, new Random(seed * 7L), NODES);
      story.replyLossRate = 0.4;
      long current = 1;
      for (int round = 0; round < 40; round++) {
        Set<ChangeRequest> orders = new LinkedHashSet<>();
        int rivals = 1 + story.random.nextInt(8);
        for (int i = 0; i < rivals; i++) {
          // A base that is out of date or ahead at times; the same number at times.
          long base = Math.max(0, current - (story.random.nextInt(6) == 0 ? 1 : 0));
          base += story.random.nextInt(12) == 0 ? 1 : 0;
          orders.add(
              ConfigChangeScenario.replacement(
                  base, base + 1 + story.random.nextInt(3), "v" + round + i % 4));
        }
        for (ChangeRequest order : orders) {
          story.send(order);
          if (story.random.nextInt(4) == 0) {
            story.send(order);
          }
        }
        // Not all get their answer in time: their operators give up, for now.
        story.retryUntilAnswered(orders, 200 + story.random.nextInt(2_000), trouble::step);
        if (story.random.nextInt(3) == 0) {
          List<ChangeRequest> all = new ArrayList<>(story.sent);
          ChangeRequest old = all.get(story.random.nextInt(all.size()));
          story.repeat(old, 300);
          repeats++;
        }
        current = story.current(15_000);
      }
      trouble.end();
      story.collectReplies(2_000);
      // Whoever gave up asks again at the end; what is ahead of all stays open.
      story.retryUntilAnswered(new LinkedHashSet<>(story.sent), 3_000, () -> {});
      for (ChangeRequest order : story.sent) {
        if (!story.answered(order)) {
          story.repeat(order, 300);
        }
      }
      story.finish();
      confirmed += story.committed.size();
      refused += story.rejected.size();
      unclear += story.outcomesUnknown;
      troubles += trouble.faultCount();
    }
    System.out.printf(
        "trouble: confirmed %d, refused %d, unclear answers %d, old repeats %d, troubles %d%n",
        confirmed, refused, unclear, repeats, troubles);
    assertThat(confirmed, greaterThan(200));
    assertThat(refused, greaterThan(200));
    assertThat(troubles, greaterThan(20));
    assertThat(repeats, lessThan(refused + confirmed));
  }
}
