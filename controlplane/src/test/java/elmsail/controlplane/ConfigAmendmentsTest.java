package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import elmsail.controlplane.ConfigChangeHandler.ChangeKind;
import elmsail.controlplane.ConfigChangeScenario.ChangeRequest;
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
class ConfigAmendmentsTest {
  private static final int NODES = 3;
  private static final int SEEDS = 20;
  private static final long SETTLE_MS = 20_000;
  private static final Pattern ROUTE = Pattern.compile("\\{\"name\":\"([ar]\\d+[a-z]*)\"");

  private static Set<String> routesInForce(ConfigChangeScenario story) {
    String read = story.cluster.read("n1");
    Set<String> names = new TreeSet<>();
    for (Matcher found = ROUTE.matcher(read); found.find(); ) {
      names.add(found.group(1));
    }
    return names;
  }

  @Test
  void oneOfEightConcurrentReplacementsAndAmendmentsIsCommitted() {
    int amended = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      ConfigChangeScenario story = ConfigChangeScenario.started("eight at once", seed, NODES);
      Set<ChangeRequest> orders = new LinkedHashSet<>();
      for (int i = 0; i < 8; i++) {
        ChangeRequest order =
            i % 2 == 0
                ? ConfigChangeScenario.amendment(1, 2 + i / 2, "x", null)
                : ConfigChangeScenario.replacement(1, 2 + i / 2, "x");
        orders.add(order);
        story.send(order, "n" + (1 + (seed + i) % NODES));
      }
      ChangeRequest won = story.awaitSingleWinner(orders);
      assertThat(story.current(5_000), is(won.number()));
      amended += won.call() == ChangeKind.AMEND ? 1 : 0;
      for (ChangeRequest order : orders) {
        assertThat(story.repeat(order, SETTLE_MS), is(order.equals(won) ? 200 : 412));
      }
      story.finish();
    }
    assertThat("amendments that won", amended, greaterThan(2));
    assertThat("whole ones that won", SEEDS - amended, greaterThan(2));
  }

  @Test
  void amendmentsUnderFaultsMakeTheirExpectedResult() {
    ConfigChangeScenario story = ConfigChangeScenario.started("three hundred", 3, NODES);
    NodeFaultInjector trouble = new NodeFaultInjector(story.cluster, new Random(17), NODES);
    story.replyLossRate = 0.3;
    Set<String> routes = new TreeSet<>(Set.of("r1"));
    ChangeRequest last = null;
    long current = 1;
    for (int change = 0; change < 300; change++) {
      String withdrawn = routes.size() > 12 ? routes.iterator().next() : null;
      ChangeRequest one = ConfigChangeScenario.amendment(current, current + 1, "v", withdrawn);
      ChangeRequest other = ConfigChangeScenario.amendment(current, current + 1, "w", null);
      Set<ChangeRequest> orders = new LinkedHashSet<>(List.of(one, other));
      orders.forEach(story::send);
      assertThat(story.retryUntilAnswered(orders, SETTLE_MS, trouble::step), is(true));
      List<ChangeRequest> won = new ArrayList<>(orders);
      won.retainAll(story.committed);
      assertThat("confirmed at change " + change, won.size(), is(1));
      current++;
      boolean first = won.get(0).equals(one);
      routes.add(ConfigChangeScenario.amendedRoute(current, first ? "v" : "w"));
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
        story.cluster.awaitWithin(SETTLE_MS, () -> story.cluster.read("n1").startsWith("{")),
        is(true));
    assertThat(routesInForce(story), equalTo(routes));
    assertThat(trouble.faultCount(), greaterThan(10));
    story.finish();
  }

  @Test
  void amendmentPartitionedHalfwayIsCommittedOrLostForAll() {
    int lost = 0;
    for (int cutAt = 0; cutAt <= 70; cutAt += 2) {
      ConfigChangeScenario story =
          ConfigChangeScenario.started("cut at " + cutAt + " ms", 200 + cutAt, NODES);
      ChangeRequest mine = ConfigChangeScenario.amendment(1, 5, "mine", null);
      ChangeRequest rival =
          cutAt % 4 == 0
              ? ConfigChangeScenario.replacement(1, 5, "rival")
              : ConfigChangeScenario.amendment(1, 5, "r", "r1");
      story.send(mine, "n1");
      story.collectReplies(cutAt);
      story.cluster.net.isolate(story.cluster.address("n1"));
      story.send(rival, "n2");
      story.collectReplies(1_500);
      story.cluster.net.healAll();
      boolean mineWon = story.awaitSingleWinner(Set.of(mine, rival)).equals(mine);
      assertThat(story.repeat(mine, SETTLE_MS), is(mineWon ? 200 : 412));
      assertThat(story.repeat(rival, SETTLE_MS), is(mineWon ? 412 : 200));
      story.finish();
      lost += mineWon ? 0 : 1;
    }
    assertThat("rivals that won", lost, greaterThan(5));
    assertThat("amendments that won", lost, not(36));
  }

  @Test
  void sameBodyByAnotherCallIsAnotherChange() {
    ConfigChangeScenario story = ConfigChangeScenario.started("other call", 5, NODES);
    ChangeRequest amendment = ConfigChangeScenario.amendment(1, 2, "x", null);
    ChangeRequest same = new ChangeRequest(ChangeKind.REPLACE, 1, 2, amendment.body());
    story.send(amendment);
    assertThat(story.retryUntilAnswered(Set.of(amendment), SETTLE_MS, () -> {}), is(true));
    assertThat(story.repeat(amendment, SETTLE_MS), is(200));
    assertThat(story.repeat(same, SETTLE_MS), is(412));
  }

  @Test
  void invalidAmendmentIsRejectedAndChangesNothing() {
    ConfigChangeScenario story = ConfigChangeScenario.started("invalid", 7, NODES);
    String before = story.cluster.read("n1");
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
      ChangeRequest order = new ChangeRequest(ChangeKind.AMEND, 1, 2, body);
      assertThat(body, story.repeat(order, SETTLE_MS), is(400));
    }
    assertThat(story.cluster.read("n1"), equalTo(before));
  }

  @Test
  void incompleteAmendmentBeforeTheFirstConfigIsRejected() {
    ConfigChangeScenario story = new ConfigChangeScenario("before the first", 9, NODES);
    story.cluster.timers.advance(3_000);
    ChangeRequest order = ConfigChangeScenario.amendment(0, 1, "x", null);
    assertThat(story.repeat(order, SETTLE_MS), is(400));
  }
}
