package elmsail.gateway.servers;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.nullValue;
import static org.hamcrest.Matchers.sameInstance;

import elmsail.config.Route;
import elmsail.config.ServerEntry;
import elmsail.config.Service;
import elmsail.gateway.FakeClusterState;
import elmsail.gateway.http.RequestCounters;
import elmsail.runtime.Counters;
import elmsail.runtime.ManualTimers;
import elmsail.runtime.NettyEventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Which server is chosen, with nothing sent. */
class ServersTest {
  private final NettyEventLoop loop = new NettyEventLoop();
  private final ManualTimers timers = new ManualTimers();
  private final FakeClusterState known = new FakeClusterState();
  private final Servers servers = gateway("z1");

  private Servers gateway(String zone) {
    return gateway(zone, new SplittableRandom(3));
  }

  private Servers gateway(String zone, SplittableRandom chance) {
    return new Servers(
        timers, loop.eventLoop(), known, zone, new RequestCounters(new Counters()), chance);
  }

  @AfterEach
  void close() {
    loop.shutdown();
  }

  private static ServerEntry entry(String id, String service, String zone, boolean closing) {
    return new ServerEntry(id, service, "127.0.0.1:1", zone, 24, closing, 0);
  }

  private static Route route(Route.WeightedService... shares) {
    return new Route(
        "r", "h", "/r/", Route.Kind.SAFE, 1_000, 100, 0, List.of(shares), 1, false, 0, 0, 0, 0);
  }

  private void list(ServerEntry... entries) {
    known.servers = List.of(entries);
    known.notifyListeners();
  }

  private Server choose(Route route) {
    return servers.picker().pick(route, Prompt.NONE, Set.of()).orElse(null);
  }

  @Test
  void closingServersAndOtherServicesAreNotPicked() {
    list(entry("a", "s", "z1", true), entry("b", "other", "z1", false));
    assertThat(choose(route(new Route.WeightedService("s", 1))), is(nullValue()));
    assertThat(servers.hasAny(), is(true));
    list(entry("a", "s", "z1", true));
    assertThat(servers.hasAny(), is(false));
  }

  @Test
  void serverWithANewAddressIsANewServer() {
    list(entry("a", "s", "z1", false));
    Server before = choose(route(new Route.WeightedService("s", 1)));
    list(new ServerEntry("a", "s", "127.0.0.1:2", "z1", 24, false, 0));
    assertThat(before.isRemoved(), is(true));
    assertThat(choose(route(new Route.WeightedService("s", 1))).isRemoved(), is(false));
  }

  @Test
  void servicesArePickedByWeight() {
    list(entry("a", "s", "z1", false), entry("b", "t", "z1", false));
    Route route =
        route(
            new Route.WeightedService("s", 90),
            new Route.WeightedService("t", 10),
            new Route.WeightedService("u", 0));
    int first = 0;
    for (int i = 0; i < 2_000; i++) {
      first += choose(route).id().equals("a") ? 1 : 0;
    }
    assertThat(first / 2_000.0, is(closeTo(0.9, 0.03)));
  }

  /** Each gateway draws for itself, and gets a few of the requests only. */
  @ParameterizedTest
  @CsvSource({
    "1, 300, 0.01",
    "6, 300, 0.02",
    "30, 300, 0.035",
    "1, 200, 0.015",
    "6, 200, 0.025",
    "30, 200, 0.05"
  })
  void fewHundredRequestsFollowTheWeights(int gateways, int requests, double mostOff) {
    list(entry("a", "s", "z1", false), entry("b", "t", "z1", false));
    SplittableRandom chance = new SplittableRandom(gateways);
    for (int weight : new int[] {5, 10, 30, 50, 90}) {
      Route route =
          route(
              new Route.WeightedService("s", weight), new Route.WeightedService("t", 100 - weight));
      double farthest = 0;
      for (int trial = 0; trial < 100; trial++) {
        List<Servers> doors = new ArrayList<>();
        for (int i = 0; i < gateways; i++) {
          doors.add(gateway("z1", chance.split()));
        }
        int first = 0;
        for (int i = 0; i < requests; i++) {
          Servers door = doors.get(chance.nextInt(gateways));
          first +=
              door.picker().pick(route, Prompt.NONE, Set.of()).orElseThrow().id().equals("a")
                  ? 1
                  : 0;
        }
        farthest = Math.max(farthest, Math.abs(first / (double) requests - weight / 100.0));
      }
      System.out.printf(
          "%d requests, %d gateways, weight %d: off by %.3f at most%n",
          requests, gateways, weight, farthest);
      assertThat(weight + " of 100", farthest, is(lessThan(mostOff)));
    }
  }

  @Test
  void roundRobinsOfRoutesAreIndependent() {
    list(entry("a", "s", "z1", false), entry("b", "t", "z1", false));
    Route route = route(new Route.WeightedService("s", 50), new Route.WeightedService("t", 50));
    Route other =
        new Route(
            "other",
            "h",
            "/o/",
            Route.Kind.SAFE,
            1_000,
            100,
            0,
            route.weightedServices(),
            1,
            false,
            0,
            0,
            0,
            0);
    int first = 0;
    for (int i = 0; i < 300; i++) {
      first += choose(route).id().equals("a") ? 1 : 0;
      choose(other);
    }
    assertThat(first / 300.0, is(closeTo(0.5, 0.01)));
  }

  /** Nothing is made up for: servers that come get their share, not all. */
  @Test
  void serviceGetsItsShareOnceItHasServers() {
    Route route =
        route(
            new Route.WeightedService("s", 50),
            new Route.WeightedService("t", 30),
            new Route.WeightedService("u", 20));
    list(entry("b", "t", "z1", false), entry("c", "u", "z1", false));
    for (int i = 0; i < 300; i++) {
      choose(route);
    }
    list(entry("a", "s", "z1", false), entry("b", "t", "z1", false), entry("c", "u", "z1", false));
    Map<String, Integer> got = new HashMap<>();
    for (int i = 0; i < 20; i++) {
      got.merge(choose(route).id(), 1, Integer::sum);
    }
    assertThat(got.get("a") / 20.0, is(closeTo(0.5, 0.15)));
    assertThat(got.get("b") / 20.0, is(closeTo(0.3, 0.15)));
    assertThat(got.get("c") / 20.0, is(closeTo(0.2, 0.15)));
  }

  @Test
  void newWeightsApplyFromTheNextRequest() {
    list(entry("a", "s", "z1", false), entry("b", "t", "z1", false));
    for (int i = 0; i < 50; i++) {
      choose(route(new Route.WeightedService("s", 90), new Route.WeightedService("t", 10)));
    }
    for (int i = 0; i < 50; i++) {
      assertThat(
          choose(route(new Route.WeightedService("s", 0), new Route.WeightedService("t", 10))).id(),
          is("b"));
    }
  }

  @Test
  void serviceWithoutServersLeavesItsShareToOthers() {
    list(entry("b", "t", "z1", false));
    assertThat(
        choose(route(new Route.WeightedService("s", 90), new Route.WeightedService("t", 10))).id(),
        is("b"));
    assertThat(
        choose(route(new Route.WeightedService("s", 90), new Route.WeightedService("t", 0))),
        is(nullValue()));
  }

  @Test
  void noCapacityAtTheConnectionLimit() {
    known.services.put("s", new Service("s", "/health", 90, 24, 0));
    known.view.gateways.addAll(List.of("c1", "c2", "c3", "c4", "c5", "c6", "c7", "c8", "c9"));
    list(entry("a", "s", "z1", false));
    Server a = choose(route(new Route.WeightedService("s", 1)));
    assertThat(servers.maxConnections(a), is(10));
    a.connectionCount = 10;
    assertThat(choose(route(new Route.WeightedService("s", 1))), is(nullValue()));
    a.connectionCount = 9;
    assertThat(choose(route(new Route.WeightedService("s", 1))), is(sameInstance(a)));
  }

  @Test
  void longPromptIsNotRejectedForItsOwnLength() {
    list(entry("a", "s", "z1", false));
    Server idle = choose(route(new Route.WeightedService("s", 1)));
    assertThat(servers.picker().rejects(idle, Prompt.parse("own:90000", null), 100), is(false));
  }

  @Test
  void excludedServerIsNotPickedAgain() {
    list(entry("a", "s", "z1", false), entry("b", "s", "z1", false));
    Set<Server> been = new HashSet<>();
    Route route = route(new Route.WeightedService("s", 1));
    for (int i = 0; i < 2; i++) {
      been.add(servers.picker().pick(route, Prompt.NONE, been).orElseThrow());
    }
    assertThat(been.size(), is(2));
    assertThat(servers.picker().pick(route, Prompt.NONE, been), is(Optional.empty()));
  }

  @Test
  void gatewaysOfAZoneAgreeOnThePrefixAffinity() {
    List<ServerEntry> entries = new ArrayList<>();
    for (int i = 0; i < 9; i++) {
      entries.add(entry("i-" + i, "s", "z" + i % 3, false));
    }
    list(entries.toArray(new ServerEntry[0]));
    Servers other = gateway("z1");
    Set<String> homes = new HashSet<>();
    for (int i = 0; i < 60; i++) {
      Prompt prompt = Prompt.parse("top:300,part" + i + ":600,own" + i + ":100", null);
      Route route = route(new Route.WeightedService("s", 1));
      Server mine = servers.picker().pick(route, prompt, Set.of()).orElseThrow();
      Server others =
          other
              .picker()
              .pick(route, Prompt.parse("top:300,part" + i + ":600,else:100", null), Set.of())
              .orElseThrow();
      assertThat(mine.id(), is(others.id()));
      assertThat(mine.entry().zone(), is("z1"));
      homes.add(mine.id());
    }
    assertThat(homes.size(), is(3));
  }
}
