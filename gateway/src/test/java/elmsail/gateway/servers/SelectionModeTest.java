package elmsail.gateway.servers;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.sameInstance;

import elmsail.config.Route;
import elmsail.config.ServerEntry;
import elmsail.gateway.FakeClusterState;
import elmsail.gateway.http.RequestCounters;
import elmsail.runtime.Counters;
import elmsail.runtime.ManualTimers;
import elmsail.runtime.NettyEventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests which of four servers is picked after some have returned errors; no request is sent. */
class SelectionModeTest {
  private static final Route ROUTE =
      new Route(
          "r",
          "h",
          "/r/",
          Route.Kind.SAFE,
          1_000,
          100,
          0,
          List.of(new Route.WeightedService("s", 1)),
          2,
          false,
          0,
          0,
          0,
          0);

  private final NettyEventLoop loop = new NettyEventLoop();
  private final ManualTimers timers = new ManualTimers();
  private final FakeClusterState clusterState = new FakeClusterState();
  private Servers servers;
  private List<Server> all;

  @BeforeEach
  void open() {
    List<ServerEntry> entries = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      entries.add(new ServerEntry("i-" + i, "s", "127.0.0.1:1", "z", 24, false, 0));
    }
    clusterState.servers = entries;
    RequestCounters counters = new RequestCounters(new Counters());
    servers =
        new Servers(timers, loop.eventLoop(), clusterState, "z", counters, new SplittableRandom(3));
    all = servers.serversOf("s");
  }

  @AfterEach
  void close() {
    loop.shutdown();
  }

  private Server pick(SelectionMode mode, Server... attempted) {
    return servers.picker().pick(ROUTE, Prompt.NONE, Set.of(attempted), mode).orElse(null);
  }

  @Test
  void ejectedServerIsSkippedInEveryMode() {
    all.get(0).health().recordError(timers.now());
    for (SelectionMode mode : SelectionMode.values()) {
      for (int i = 0; i < 8; i++) {
        assertThat(mode.name(), pick(mode), is(not(sameInstance(all.get(0)))));
      }
    }
  }

  @Test
  void afterAnErrorARecentlySuccessfulServerIsPicked() {
    all.get(2).health().recordSuccess(timers.now());
    for (int i = 0; i < 8; i++) {
      assertThat(pick(SelectionMode.AFTER_ERROR, all.get(0)), is(sameInstance(all.get(2))));
    }
  }

  @Test
  void withoutRecentSuccessAServerThatReturnedNoErrorIsPicked() {
    all.get(0).health().recordError(timers.now());
    all.get(1).health().recordError(timers.now());
    for (int i = 0; i < 8; i++) {
      assertThat(
          pick(SelectionMode.AFTER_ERROR, all.get(0), all.get(2)), is(sameInstance(all.get(3))));
    }
  }

  @Test
  void halfOpenServerIsProbedFirstWhenPreferred() {
    all.get(0).health().recordError(timers.now());
    timers.advance(ErrorBackoff.INITIAL_EJECTION_MS);
    for (int i = 0; i < 8; i++) {
      assertThat(pick(SelectionMode.NOT_RETRYABLE), is(not(sameInstance(all.get(0)))));
      assertThat(pick(SelectionMode.PROBE_PREFERRED), is(sameInstance(all.get(0))));
    }
    timers.advance(ErrorBackoff.NON_RETRYABLE_PROBE_DELAY_MS);
    boolean picked = false;
    for (int i = 0; i < 8; i++) {
      picked |= pick(SelectionMode.NOT_RETRYABLE) == all.get(0);
    }
    assertThat("the half-open server is eventually picked", picked, is(true));
  }

  @Test
  void unreachableServerIsNotProbed() {
    all.get(0).health().recordError(timers.now());
    timers.advance(ErrorBackoff.INITIAL_EJECTION_MS);
    all.get(0).recordFailure(timers.now());
    assertThat(pick(SelectionMode.PROBE_PREFERRED), is(not(sameInstance(all.get(0)))));
  }

  @Test
  void atMostHalfOfTheServersAreEjected() {
    for (Server server : all) {
      server.health().recordError(timers.now());
    }
    long ejected = all.stream().filter(s -> s.health().mustBeAvoided(false, timers.now())).count();
    assertThat(ejected, is(2L));
  }
}
