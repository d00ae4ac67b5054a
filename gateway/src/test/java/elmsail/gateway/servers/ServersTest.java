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

/** Tests which server is picked; no request is sent. */
class ServersTest {
  private final NettyEventLoop loop = new NettyEventLoop();
  private final ManualTimers timers = new ManualTimers();
  private final FakeClusterState clusterState = new FakeClusterState();
  private final Servers servers = gateway("z1");

  private Servers gateway(String zone) {
    return gateway(zone, new SplittableRandom(3));
  }

  private Servers gateway(String zone, SplittableRandom random) {
    return new Servers(
        timers, loop.eventLoop(), clusterState, zone, new RequestCounters(new Counters()), random);
  }

  @AfterEach
  void close() {
    loop.shutdown();
  }

  private static ServerEntry entry(String id, String service, String zone, boolean draining) {
    return new ServerEntry(id, service, "127.0.0.1:1", zone, 24, draining, 0);
  }

  private static Route route(Route.WeightedService... shares) {
    return new Route(
        "r", "h", "/r/", Route.Kind.SAFE, 1_000, 100, 0, List.of(shares), 1, false, 0, 0, 0, 0);
  }

  private void setServers(ServerEntry... entries) {
    clusterState.servers = List.of(entries);
    clusterState.notifyListeners();
  }

  private Server pick(Route route) {
    return servers.picker().pick(route, Prompt.NONE, Set.of()).orElse(null);
  }

  @Test
  void drainingServersAndOtherServicesAreNotPicked() {
    setServers(entry("a", "s", "z1", true), entry("b", "other", "z1", false));
    assertThat(pick(route(new Route.WeightedService("s", 1))), is(nullValue()));
    assertThat(servers.hasAny(), is(true));
    setServers(entry("a", "s", "z1", true));
    assertThat(servers.hasAny(), is(false));
  }

  @Test
  void serverWithANewAddressIsANewServer() {
    setServers(entry("a", "s", "z1", false));
    Server before = pick(route(new Route.WeightedService("s", 1)));
    setServers(new ServerEntry("a", "s", "127.0.0.1:2", "z1", 24, false, 0));
    assertThat(before.isRemoved(), is(true));
    assertThat(pick(route(new Route.WeightedService("s", 1))).isRemoved(), is(false));
  }

  @Test
  void servicesArePickedByWeight() {
    setServers(entry("a", "s", "z1", false), entry("b", "t", "z1", false));
    Route route =
        route(
            new Route.WeightedService("s", 90),
            new Route.WeightedService("t", 10),
            new Route.WeightedService("u", 0));
    int picksOfA = 0;
    for (int i = 0; i < 2_000; i++) {
      picksOfA += pick(route).id().equals("a") ? 1 : 0;
    }
    assertThat(picksOfA / 2_000.0, is(closeTo(0.9, 0.03)));
  }

  /**
   * Each gateway has its own round robin with a random start and receives only a part of the
   * requests.
   */
  @ParameterizedTest
  @CsvSource({
    "1, 300, 0.01",
    "6, 300, 0.02",
    "30, 300, 0.035",
    "1, 200, 0.015",
    "6, 200, 0.025",
    "30, 200, 0.05"
  })
  void fewHundredRequestsFollowTheWeights(int gateways, int requests, double maxDeviation) {
    setServers(entry("a", "s", "z1", false), entry("b", "t", "z1", false));
    SplittableRandom random = new SplittableRandom(gateways);
    for (int weight : new int[] {5, 10, 30, 50, 90}) {
      Route route =
          route(
              new Route.WeightedService("s", weight), new Route.WeightedService("t", 100 - weight));
      double largestDeviation = 0;
      for (int trial = 0; trial < 100; trial++) {
        List<Servers> instances = new ArrayList<>();
        for (int i = 0; i < gateways; i++) {
          instances.add(gateway("z1", random.split()));
        }
        int picksOfA = 0;
        for (int i = 0; i < requests; i++) {
          Servers instance = instances.get(random.nextInt(gateways));
          picksOfA +=
              instance.picker().pick(route, Prompt.NONE, Set.of()).orElseThrow().id().equals("a")
                  ? 1
                  : 0;
        }
        largestDeviation =
            Math.max(largestDeviation, Math.abs(picksOfA / (double) requests - weight / 100.0));
      }
      System.out.printf(
          "%d requests, %d gateways, weight %d: largest deviation %.3f%n",
          requests, gateways, weight, largestDeviation);
      assertThat(weight + " of 100", largestDeviation, is(lessThan(maxDeviation)));
    }
  }

  @Test
  void roundRobinsOfRoutesAreIndependent() {
    setServers(entry("a", "s", "z1", false), entry("b", "t", "z1", false));
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
    int picksOfA = 0;
    for (int i = 0; i < 300; i++) {
      picksOfA += pick(route).id().equals("a") ? 1 : 0;
      pick(other);
    }
    assertThat(picksOfA / 300.0, is(closeTo(0.5, 0.01)));
  }

  /**
   * A service that had no servers gets its share once it has some; missed requests are not made up
   * for.
   */
  @Test
  void serviceGetsItsShareOnceItHasServers() {
    Route route =
        route(
            new Route.WeightedService("s", 50),
            new Route.WeightedService("t", 30),
            new Route.WeightedService("u", 20));
    setServers(entry("b", "t", "z1", false), entry("c", "u", "z1", false));
    for (int i = 0; i < 300; i++) {
      pick(route);
    }
    setServers(
        entry("a", "s", "z1", false), entry("b", "t", "z1", false), entry("c", "u", "z1", false));
    Map<String, Integer> picksByServer = new HashMap<>();
    for (int i = 0; i < 20; i++) {
      picksByServer.merge(pick(route).id(), 1, Integer::sum);
    }
    assertThat(picksByServer.get("a") / 20.0, is(closeTo(0.5, 0.15)));
    assertThat(picksByServer.get("b") / 20.0, is(closeTo(0.3, 0.15)));
    assertThat(picksByServer.get("c") / 20.0, is(closeTo(0.2, 0.15)));
  }

  @Test
  void newWeightsApplyFromTheNextRequest() {
    setServers(entry("a", "s", "z1", false), entry("b", "t", "z1", false));
    for (int i = 0; i < 50; i++) {
      pick(route(new Route.WeightedService("s", 90), new Route.WeightedService("t", 10)));
    }
    for (int i = 0; i < 50; i++) {
      assertThat(
          pick(route(new Route.WeightedService("s", 0), new Route.WeightedService("t", 10))).id(),
          is("b"));
    }
  }

  @Test
  void serviceWithoutServersLeavesItsShareToOthers() {
    setServers(entry("b", "t", "z1", false));
    assertThat(
        pick(route(new Route.WeightedService("s", 90), new Route.WeightedService("t", 10))).id(),
        is("b"));
    assertThat(
        pick(route(new Route.WeightedService("s", 90), new Route.WeightedService("t", 0))),
        is(nullValue()));
  }

  @Test
  void noCapacityAtTheConnectionLimit() {
    clusterState.services.put("s", new Service("s", "/health", 90, 24, 0));
    clusterState.view.gateways.addAll(
        List.of("c1", "c2", "c3", "c4", "c5", "c6", "c7", "c8", "c9"));
    setServers(entry("a", "s", "z1", false));
    Server a = pick(route(new Route.WeightedService("s", 1)));
    assertThat(servers.maxConnections(a), is(10));
    a.connectionCount = 10;
    assertThat(pick(route(new Route.WeightedService("s", 1))), is(nullValue()));
    a.connectionCount = 9;
    assertThat(pick(route(new Route.WeightedService("s", 1))), is(sameInstance(a)));
  }

  @Test
  void longPromptIsNotRejectedForItsOwnLength() {
    setServers(entry("a", "s", "z1", false));
    Server idle = pick(route(new Route.WeightedService("s", 1)));
    assertThat(servers.picker().rejects(idle, Prompt.parse("own:90000", null), 100), is(false));
  }

  @Test
  void excludedServerIsNotPickedAgain() {
    setServers(entry("a", "s", "z1", false), entry("b", "s", "z1", false));
    Set<Server> excluded = new HashSet<>();
    Route route = route(new Route.WeightedService("s", 1));
    for (int i = 0; i < 2; i++) {
      excluded.add(servers.picker().pick(route, Prompt.NONE, excluded).orElseThrow());
    }
    assertThat(excluded.size(), is(2));
    assertThat(servers.picker().pick(route, Prompt.NONE, excluded), is(Optional.empty()));
  }

  @Test
  void gatewaysOfAZoneAgreeOnThePrefixAffinity() {
    List<ServerEntry> entries = new ArrayList<>();
    for (int i = 0; i < 9; i++) {
      entries.add(entry("i-" + i, "s", "z" + i % 3, false));
    }
    setServers(entries.toArray(new ServerEntry[0]));
    Servers otherGateway = gateway("z1");
    Set<String> pickedIds = new HashSet<>();
    for (int i = 0; i < 60; i++) {
      Prompt prompt = Prompt.parse("top:300,part" + i + ":600,own" + i + ":100", null);
      Route route = route(new Route.WeightedService("s", 1));
      Server picked = servers.picker().pick(route, prompt, Set.of()).orElseThrow();
      Server pickedByOther =
          otherGateway
              .picker()
              .pick(route, Prompt.parse("top:300,part" + i + ":600,else:100", null), Set.of())
              .orElseThrow();
      assertThat(picked.id(), is(pickedByOther.id()));
      assertThat(picked.entry().zone(), is("z1"));
      pickedIds.add(picked.id());
    }
    assertThat(pickedIds.size(), is(3));
  }
}
