package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import elmsail.controlplane.ConfigOrderHandler.Call;
import elmsail.controlplane.OrderStory.Order;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Amendments of the configuration, alone and beside whole ones, at nodes in trouble. */
class AmendOrdersTest {
  private static final int NODES = 3;
  private static final int SEEDS = 20;
  private static final long SETTLE_MS = 20_000;
  private static final Pattern ROUTE = Pattern.compile("\\{\"name\":\"([ar]\\d+[a-z]*)\"");

  private static Set<String> routesInForce(OrderStory story) {
    String read = story.world.read("n1");
    Set<String> names = new TreeSet<>();
    for (Matcher found = ROUTE.matcher(read); found.find(); ) {
      names.add(found.group(1));
    }
    return names;
  }

  @Test
  void ofEightAtOnceWholeOnesAndAmendmentsOneIsConfirmed() {
    int amended = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      OrderStory story = OrderStory.started("eight at once", seed, NODES);
      Set<Order> orders = new LinkedHashSet<>();
      for (int i = 0; i < 8; i++) {
        Order order =
            i % 2 == 0
                ? OrderStory.amendment(1, 2 + i / 2, "x", null)
                : OrderStory.order(1, 2 + i / 2, "x");
        orders.add(order);
        story.send(order, "n" + (1 + (seed + i) % NODES));
      }
      Order won = story.oneWins(orders);
      assertThat(story.current(5_000), is(won.number()));
      amended += won.call() == Call.AMEND ? 1 : 0;
      for (Order order : orders) {
        assertThat(story.repeat(order, SETTLE_MS), is(order.equals(won) ? 200 : 412));
      }
      story.finish();
    }
    assertThat("amendments that won", amended, greaterThan(2));
    assertThat("whole ones that won", SEEDS - amended, greaterThan(2));
  }

  @Test
  void threeHundredAmendmentsWithLostAnswersKillsAndWipesMakeWhatTheirOrderMakes() {
    OrderStory story = OrderStory.started("three hundred", 3, NODES);
    OrderTrouble trouble = new OrderTrouble(story.world, new Random(17), NODES);
    story.answersLost = 0.3;
    Set<String> routes = new TreeSet<>(Set.of("r1"));
    Order last = null;
    long current = 1;
    for (int change = 0; change < 300; change++) {
      String withdrawn = routes.size() > 12 ? routes.iterator().next() : null;
      Order one = OrderStory.amendment(current, current + 1, "v", withdrawn);
      Order other = OrderStory.amendment(current, current + 1, "w", null);
      Set<Order> orders = new LinkedHashSet<>(List.of(one, other));
      orders.forEach(story::send);
      assertThat(story.pursue(orders, SETTLE_MS, trouble::step), is(true));
      List<Order> won = new ArrayList<>(orders);
      won.retainAll(story.confirmed);
      assertThat("confirmed at change " + change, won.size(), is(1));
      current++;
      boolean first = won.get(0).equals(one);
      routes.add(OrderStory.amendedRoute(current, first ? "v" : "w"));
      if (first && withdrawn != null) {
        routes.remove(withdrawn);
      }
      if (last != null && change % 10 == 0) {
        assertThat("repeated", story.repeat(last, SETTLE_MS), is(200));
      }
      last = won.get(0);
    }
    trouble.end();
    assertThat(story.current(SETTLE_MS), is(current));
    assertThat(
        story.world.until(SETTLE_MS, () -> story.world.read("n1").startsWith("{")), is(true));
    assertThat(routesInForce(story), equalTo(routes));
    assertThat(trouble.begun(), greaterThan(10));
    story.finish();
  }

  @Test
  void anAmendmentCutOffHalfwayIsFinishedOrLostForAll() {
    int lost = 0;
    for (int cutAt = 0; cutAt <= 70; cutAt += 2) {
      OrderStory story = OrderStory.started("cut at " + cutAt + " ms", 200 + cutAt, NODES);
      Order mine = OrderStory.amendment(1, 5, "mine", null);
      Order rival =
          cutAt % 4 == 0 ? OrderStory.order(1, 5, "rival") : OrderStory.amendment(1, 5, "r", "r1");
      story.send(mine, "n1");
      story.hear(cutAt);
      story.world.net.isolate(story.world.address("n1"));
      story.send(rival, "n2");
      story.hear(1_500);
      story.world.net.healAll();
      boolean mineWon = story.oneWins(Set.of(mine, rival)).equals(mine);
      assertThat(story.repeat(mine, SETTLE_MS), is(mineWon ? 200 : 412));
      assertThat(story.repeat(rival, SETTLE_MS), is(mineWon ? 412 : 200));
      story.finish();
      lost += mineWon ? 0 : 1;
    }
    assertThat("rivals that won", lost, greaterThan(5));
    assertThat("amendments that won", lost, not(36));
  }

  @Test
  void theSameBytesAsAnotherCallAreAnotherOrder() {
    OrderStory story = OrderStory.started("other call", 5, NODES);
    Order amendment = OrderStory.amendment(1, 2, "x", null);
    Order same = new Order(Call.REPLACE, 1, 2, amendment.body());
    story.send(amendment);
    assertThat(story.pursue(Set.of(amendment), SETTLE_MS, () -> {}), is(true));
    assertThat(story.repeat(amendment, SETTLE_MS), is(200));
    assertThat(story.repeat(same, SETTLE_MS), is(412));
  }

  @Test
  void whatWouldBeInvalidIsRefusedAndNothingChanges() {
    OrderStory story = OrderStory.started("invalid", 7, NODES);
    String before = story.world.read("n1");
    for (String body :
        List.of(
            "{\"edition\":2,\"withdraw\":{\"postal_lines\":[\"p\"]}}",
            "{\"edition\":2,\"withdraw\":{\"routes\":[\"none\"]}}",
            "{\"edition\":1,\"withdraw\":{\"routes\":[\"r1\"]}}",
            "{\"edition\":2,\"deliver\":{\"routes\":[{\"name\":\"new\"}]}}",
            "{\"edition\":2,\"deliver\":{\"routes\":[{\"name\":\"new\",\"depot\":\"a.example\","
                + "\"lane_prefix\":\"/a/\",\"route_class\":\"safe\",\"give_up_ms\":1,"
                + "\"postal_line\":\"p\"}]}}",
            "no json")) {
      Order order = new Order(Call.AMEND, 1, 2, body);
      assertThat(body, story.repeat(order, SETTLE_MS), is(400));
    }
    assertThat(story.world.read("n1"), equalTo(before));
  }

  @Test
  void beforeTheFirstConfigurationAnAmendmentThatIsNotWholeIsRefused() {
    OrderStory story = new OrderStory("before the first", 9, NODES);
    story.world.timers.advance(3_000);
    Order order = OrderStory.amendment(0, 1, "x", null);
    assertThat(story.repeat(order, SETTLE_MS), is(400));
  }
}
