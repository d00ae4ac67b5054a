package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import elmsail.controlplane.OrderStory.Order;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Orders of several operators at several nodes, with lost answers, repeats, kills and wipes. */
class ConfigOrdersTest {
  private static final int NODES = 3;
  private static final int SEEDS = 20;
  private static final long SETTLE_MS = 20_000;

  @Test
  void ofEightAtOnceAtDifferentNodesOneIsConfirmed() {
    int unclear = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      OrderStory story = OrderStory.started("eight at once", seed, NODES);
      Set<Order> orders = new LinkedHashSet<>();
      for (int i = 0; i < 8; i++) {
        Order order = OrderStory.order(1, 2 + i, "x");
        orders.add(order);
        story.send(order, "n" + (1 + i % NODES));
      }
      Order won = story.oneWins(orders);
      assertThat(story.current(5_000), is(won.number()));
      story.finish();
      unclear += story.unclear;
    }
    System.out.println("eight at once: " + SEEDS + " seeds, answers unclear " + unclear);
  }

  @Test
  void ofTwoWithOneNumberAndOtherBytesOneIsConfirmed() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      OrderStory story = OrderStory.started("one number", seed, NODES);
      Order one = OrderStory.order(1, 5, "one");
      Order other = OrderStory.order(1, 5, "other");
      story.send(one, "n1");
      story.send(other, "n2");
      Order won = story.oneWins(Set.of(one, other));
      Order lost = won.equals(one) ? other : one;
      Order next = OrderStory.order(5, 6, "");
      story.send(next);
      assertThat(story.pursue(Set.of(next), SETTLE_MS, () -> {}), is(true));
      assertThat(story.repeat(won, SETTLE_MS), is(200));
      assertThat(story.repeat(lost, SETTLE_MS), is(412));
      story.finish();
    }
  }

  @Test
  void theSameBytesOnTwoBasesAreNotBothConfirmed() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      OrderStory story = OrderStory.started("two bases", seed, NODES);
      Order mine = OrderStory.order(1, 9, "same");
      Order taken = OrderStory.order(1, 3, "");
      Order between = OrderStory.order(3, 9, "same");
      story.send(taken);
      assertThat(story.pursue(Set.of(taken), SETTLE_MS, () -> {}), is(true));
      story.send(between, "n1");
      story.send(mine, "n2");
      assertThat(story.pursue(Set.of(mine, between), SETTLE_MS, () -> {}), is(true));
      assertThat(story.confirmed.contains(between), is(true));
      assertThat(story.repeat(mine, SETTLE_MS), is(412));
      story.finish();
    }
  }

  @Test
  void theSameOrderAtAllNodesAtOnceIsConfirmedByAll() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      OrderStory story = OrderStory.started("same order", seed, NODES);
      Order order = OrderStory.order(1, 4, "");
      for (int i = 1; i <= NODES; i++) {
        story.send(order, "n" + i);
      }
      assertThat(story.pursue(Set.of(order), SETTLE_MS, () -> {}), is(true));
      story.hear(2_000);
      assertThat(story.confirmed.contains(order), is(true));
      assertThat(story.current(5_000), is(4L));
      story.finish();
    }
  }

  @Test
  void answersLostAtSevenTenthsEndInOneClearAnswerEach() {
    int lost = 0;
    int confirmed = 0;
    for (int seed = 1; seed <= 6; seed++) {
      OrderStory story = OrderStory.started("lost answers", seed, NODES);
      story.answersLost = 0.7;
      long current = 1;
      for (int change = 0; change < 25; change++) {
        Set<Order> orders = new LinkedHashSet<>();
        int rivals = 1 + story.chance.nextInt(3);
        for (int i = 0; i < rivals; i++) {
          orders.add(OrderStory.order(current, current + 1 + story.chance.nextInt(3), "v" + i));
        }
        orders.forEach(story::send);
        current = story.oneWins(orders).number();
      }
      story.finish();
      lost += story.lostAnswers;
      confirmed += story.confirmed.size();
    }
    System.out.println("lost answers: confirmed " + confirmed + ", answers lost " + lost);
    assertThat(lost, greaterThan(2 * confirmed));
  }

  @Test
  void oneThatWasTakenIsConfirmedAgainAfter1And10And300ChangesAndAWipe() {
    OrderStory story = OrderStory.started("old repeats", 1, NODES);
    List<Order> taken = new ArrayList<>();
    List<Order> lost = new ArrayList<>();
    taken.add(OrderStory.order(0, 1, ""));
    for (int change = 1; change <= 310; change++) {
      Order order = OrderStory.order(change, change + 1, "a");
      story.send(order);
      if (change % 20 == 0) {
        Order rival = OrderStory.order(change, change + 1, "b");
        story.send(rival);
        Order won = story.oneWins(Set.of(order, rival));
        lost.add(won.equals(order) ? rival : order);
        taken.add(won);
      } else {
        taken.add(story.oneWins(Set.of(order)));
      }
      if (change % 70 == 0) {
        String node = "n" + (1 + change / 70 % NODES);
        boolean wiped = change % 140 == 0;
        if (wiped) {
          story.world.wipe(node);
        } else {
          story.world.kill(node);
        }
        story.world.timers.advance(1_500);
        story.world.controlPlane(node, false);
        assertThat(
            story.world.until(10_000, () -> story.world.read(node).startsWith("{")), is(true));
      }
      for (int back : new int[] {1, 10, 300}) {
        if (change >= back && (change % 10 == 0 || change > 300)) {
          Order old = taken.get(taken.size() - 1 - back);
          assertThat("after " + back + ": " + old, story.repeat(old, SETTLE_MS), is(200));
        }
      }
    }
    for (Order each : taken) {
      assertThat(each.toString(), story.repeat(each, SETTLE_MS), is(200));
    }
    for (Order each : lost) {
      assertThat(each.toString(), story.repeat(each, SETTLE_MS), is(412));
    }
    story.finish();
  }

  /**
   * The node that makes the change is cut off at each ms of it, one way or both, so that its accept
   * may have reached nobody, itself, one other or all; a rival comes before or after the repeat.
   */
  @Test
  void aChangeCutOffHalfwayIsFinishedOrLostForAll() {
    int finished = 0;
    int lost = 0;
    int stories = 0;
    for (int cutAt = 0; cutAt <= 70; cutAt++) {
      for (int variant = 0; variant < 6; variant++) {
        OrderStory story =
            OrderStory.started("cut at " + cutAt + " ms, variant " + variant, 100 + cutAt, NODES);
        Order mine = OrderStory.order(1, 5, "mine");
        Order rival = OrderStory.order(1, 5, "rival");
        story.send(mine, "n1");
        story.hear(cutAt);
        cut(story.world, "n1", variant % 3);
        boolean rivalFirst = variant >= 3;
        story.send(rivalFirst ? rival : mine, "n2");
        story.hear(1 + story.chance.nextInt(30));
        story.send(rivalFirst ? mine : rival, "n3");
        story.hear(1_500);
        story.world.net.healAll();
        boolean mineWon = story.oneWins(Set.of(mine, rival)).equals(mine);
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

  private static void cut(World world, String node, int how) {
    for (int i = 1; i <= NODES; i++) {
      String other = "n" + i;
      if (other.equals(node)) {
        continue;
      }
      if (how != 1) {
        world.net.cut(world.address(node), world.address(other));
      }
      if (how != 2) {
        world.net.cut(world.address(other), world.address(node));
      }
    }
  }

  @Test
  void operatorsUnderTroubleAreNeverToldWhatIsNotSo() {
    int confirmed = 0;
    int refused = 0;
    int unclear = 0;
    int repeats = 0;
    int troubles = 0;
    for (int seed = 1; seed <= 10; seed++) {
      OrderStory story = OrderStory.started("trouble", seed, NODES);
      OrderTrouble trouble = new OrderTrouble(story.world, new Random(seed * 7L), NODES);
      story.answersLost = 0.4;
      long current = 1;
      for (int round = 0; round < 40; round++) {
        Set<Order> orders = new LinkedHashSet<>();
        int rivals = 1 + story.chance.nextInt(8);
        for (int i = 0; i < rivals; i++) {
          // A base that is out of date or ahead at times; the same number at times.
          long base = Math.max(0, current - (story.chance.nextInt(6) == 0 ? 1 : 0));
          base += story.chance.nextInt(12) == 0 ? 1 : 0;
          orders.add(
              OrderStory.order(base, base + 1 + story.chance.nextInt(3), "v" + round + i % 4));
        }
        for (Order order : orders) {
          story.send(order);
          if (story.chance.nextInt(4) == 0) {
            story.send(order);
          }
        }
        // Not all get their answer in time: their operators give up, for now.
        story.pursue(orders, 200 + story.chance.nextInt(2_000), trouble::step);
        if (story.chance.nextInt(3) == 0) {
          List<Order> all = new ArrayList<>(story.sent);
          Order old = all.get(story.chance.nextInt(all.size()));
          story.repeat(old, 300);
          repeats++;
        }
        current = story.current(15_000);
      }
      trouble.end();
      story.hear(2_000);
      // Whoever gave up asks again at the end; what is ahead of all stays open.
      story.pursue(new LinkedHashSet<>(story.sent), 3_000, () -> {});
      for (Order order : story.sent) {
        if (!story.answered(order)) {
          story.repeat(order, 300);
        }
      }
      story.finish();
      confirmed += story.confirmed.size();
      refused += story.refused.size();
      unclear += story.unclear;
      troubles += trouble.begun();
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
