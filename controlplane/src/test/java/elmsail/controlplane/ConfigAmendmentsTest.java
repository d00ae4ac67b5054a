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

/**
 * Amendments of the configuration, alone and concurrent with replacements, under faults of nodes
 * and network. Guards against two committed changes on one base version and against an amendment
 * that is applied to another version than its base.
 */
class ConfigAmendmentsTest {
  private static final int NODES = 3;
  private static final int SEEDS = 20;
  private static final long SETTLE_MS = 20_000;
  private static final Pattern ROUTE = Pattern.compile("\\{\"name\":\"([ar]\\d+[a-z]*)\"");

  private static Set<String> committedRoutes(ConfigChangeScenario scenario) {
    String read = scenario.cluster.read("n1");
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
      ConfigChangeScenario scenario =
          ConfigChangeScenario.started("eight concurrent changes", seed, NODES);
      Set<ChangeRequest> requests = new LinkedHashSet<>();
      for (int i = 0; i < 8; i++) {
        ChangeRequest request =
            i % 2 == 0
                ? ConfigChangeScenario.amendment(1, 2 + i / 2, "x", null)
                : ConfigChangeScenario.replacement(1, 2 + i / 2, "x");
        requests.add(request);
        scenario.send(request, "n" + (1 + (seed + i) % NODES));
      }
      ChangeRequest won = scenario.awaitSingleWinner(requests);
      assertThat(scenario.readVersion(5_000), is(won.version()));
      amended += won.kind() == ChangeKind.AMEND ? 1 : 0;
      for (ChangeRequest request : requests) {
        assertThat(scenario.resend(request, SETTLE_MS), is(request.equals(won) ? 200 : 412));
      }
      scenario.assertHistoryMatchesReplies();
    }
    assertThat("amendments that won", amended, greaterThan(2));
    assertThat("replacements that won", SEEDS - amended, greaterThan(2));
  }

  @Test
  void amendmentsUnderFaultsYieldTheExpectedRoutes() {
    ConfigChangeScenario scenario = ConfigChangeScenario.started("300 amendments", 3, NODES);
    NodeFaultInjector faults = new NodeFaultInjector(scenario.cluster, new Random(17), NODES);
    scenario.replyLossRate = 0.3;
    Set<String> routes = new TreeSet<>(Set.of("r1"));
    ChangeRequest last = null;
    long current = 1;
    for (int change = 0; change < 300; change++) {
      String withdrawn = routes.size() > 12 ? routes.iterator().next() : null;
      ChangeRequest withdrawingAmendment =
          ConfigChangeScenario.amendment(current, current + 1, "v", withdrawn);
      ChangeRequest addingAmendment =
          ConfigChangeScenario.amendment(current, current + 1, "w", null);
      Set<ChangeRequest> requests =
          new LinkedHashSet<>(List.of(withdrawingAmendment, addingAmendment));
      requests.forEach(scenario::send);
      assertThat(scenario.retryUntilFinalReplies(requests, SETTLE_MS, faults::step), is(true));
      List<ChangeRequest> won = new ArrayList<>(requests);
      won.retainAll(scenario.committed);
      assertThat("committed at change " + change, won.size(), is(1));
      current++;
      boolean withdrawingAmendmentWon = won.get(0).equals(withdrawingAmendment);
      routes.add(ConfigChangeScenario.amendedRoute(current, withdrawingAmendmentWon ? "v" : "w"));
      if (withdrawingAmendmentWon && withdrawn != null) {
        routes.remove(withdrawn);
      }
      if (last != null && change % 10 == 0) {
        assertThat("repeated", scenario.resend(last, SETTLE_MS), is(200));
      }
      last = won.get(0);
    }
    faults.endFault();
    assertThat(scenario.readVersion(SETTLE_MS), is(current));
    assertThat(
        scenario.cluster.awaitWithin(SETTLE_MS, () -> scenario.cluster.read("n1").startsWith("{")),
        is(true));
    assertThat(committedRoutes(scenario), equalTo(routes));
    assertThat(faults.faultCount(), greaterThan(10));
    scenario.assertHistoryMatchesReplies();
  }

  @Test
  void amendmentInterruptedByAPartitionHasOneOutcomeForAll() {
    int lost = 0;
    for (int cutAtMs = 0; cutAtMs <= 70; cutAtMs += 2) {
      ConfigChangeScenario scenario =
          ConfigChangeScenario.started("partitioned at " + cutAtMs + " ms", 200 + cutAtMs, NODES);
      ChangeRequest mine = ConfigChangeScenario.amendment(1, 5, "mine", null);
      ChangeRequest rival =
          cutAtMs % 4 == 0
              ? ConfigChangeScenario.replacement(1, 5, "rival")
              : ConfigChangeScenario.amendment(1, 5, "r", "r1");
      scenario.send(mine, "n1");
      scenario.collectReplies(cutAtMs);
      scenario.cluster.net.isolate(scenario.cluster.address("n1"));
      scenario.send(rival, "n2");
      scenario.collectReplies(1_500);
      scenario.cluster.net.healAll();
      boolean mineWon = scenario.awaitSingleWinner(Set.of(mine, rival)).equals(mine);
      assertThat(scenario.resend(mine, SETTLE_MS), is(mineWon ? 200 : 412));
      assertThat(scenario.resend(rival, SETTLE_MS), is(mineWon ? 412 : 200));
      scenario.assertHistoryMatchesReplies();
      lost += mineWon ? 0 : 1;
    }
    assertThat("rivals that won", lost, greaterThan(5));
    assertThat("amendments that won", lost, not(36));
  }

  @Test
  void sameBodySentThroughAnotherCallIsAnotherChange() {
    ConfigChangeScenario scenario = ConfigChangeScenario.started("other call", 5, NODES);
    ChangeRequest amendment = ConfigChangeScenario.amendment(1, 2, "x", null);
    ChangeRequest same = new ChangeRequest(ChangeKind.REPLACE, 1, 2, amendment.body());
    scenario.send(amendment);
    assertThat(scenario.retryUntilFinalReplies(Set.of(amendment), SETTLE_MS, () -> {}), is(true));
    assertThat(scenario.resend(amendment, SETTLE_MS), is(200));
    assertThat(scenario.resend(same, SETTLE_MS), is(412));
  }

  @Test
  void invalidAmendmentIsRejectedAndChangesNothing() {
    ConfigChangeScenario scenario = ConfigChangeScenario.started("invalid", 7, NODES);
    String before = scenario.cluster.read("n1");
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
      ChangeRequest request = new ChangeRequest(ChangeKind.AMEND, 1, 2, body);
      assertThat(body, scenario.resend(request, SETTLE_MS), is(400));
    }
    assertThat(scenario.cluster.read("n1"), equalTo(before));
  }

  @Test
  void amendmentBeforeTheFirstConfigIsRejected() {
    ConfigChangeScenario scenario = new ConfigChangeScenario("before the first config", 9, NODES);
    scenario.cluster.timers.advance(3_000);
    ChangeRequest request = ConfigChangeScenario.amendment(0, 1, "x", null);
    assertThat(scenario.resend(request, SETTLE_MS), is(400));
  }
}
