package elmsail.config.watch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import elmsail.config.PlatformClient;
import elmsail.config.SampleConfigs;
import elmsail.config.ServerEntry;
import elmsail.config.ServerListCodec;
import elmsail.rpc.messages.ClusterView;
import elmsail.runtime.ManualTimers;
import elmsail.runtime.http.HttpClient;
import elmsail.runtime.http.SimpleHttpResponse;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class FallbackDiscoveryTest {
  private static final String A = "10.1.0.13:7721";
  private static final List<ServerEntry> FETCHED = List.of(SampleConfigs.server("i-fetched"));
  private static final List<ServerEntry> PUBLISHED = List.of(SampleConfigs.server("i-published"));

  private final ManualTimers timers = new ManualTimers();
  private final FakeNetwork network = new FakeNetwork(timers);
  private final List<Long> fetchTimes = new ArrayList<>();
  private int status = 200;

  private ConfigWatcher watcher(PeerRole role, long instanceId) {
    HttpClient httpClient =
        (address, request, timeoutMs) -> {
          fetchTimes.add(timers.now());
          CompletableFuture<SimpleHttpResponse> reply = new CompletableFuture<>();
          timers.schedule(
              10,
              () ->
                  reply.complete(
                      new SimpleHttpResponse(status, Map.of(), ServerListCodec.encode(FETCHED))));
          return reply;
        };
    PlatformClient platformClient = new PlatformClient(httpClient, "10.200.0.79:8169", timers);
    return new ConfigWatcher(
        network,
        timers,
        ConfigWatcherTestBase.settings(Set.of("counter")),
        role,
        instanceId,
        () -> StoreStatus.NONE,
        platformClient);
  }

  @Test
  void fetchesThreeSecondsAfterTheStartWithoutAnyList() {
    ConfigWatcher watcher = watcher(PeerRole.GATEWAY, 77);
    watcher.start();
    timers.advance(2_999);
    assertThat(fetchTimes, empty());
    timers.advance(1_300);
    assertThat(fetchTimes, hasSize(1));
    assertThat(watcher.servers(), equalTo(FETCHED));
    assertThat(watcher.serverListEpoch(), equalTo(0L));
    assertThat(watcher.serverListVersion(), equalTo(0L));
    assertThat(watcher.serverListAgeMs(), equalTo(timers.now() - fetchTimes.get(0)));
  }

  @Test
  void onlyGatewaysFetch() {
    for (PeerRole role : List.of(PeerRole.STORE, PeerRole.CONTROL_PLANE)) {
      watcher(role, 77).start();
    }
    timers.advance(20_000);
    assertThat(fetchTimes, empty());
  }

  @Test
  void fetchesNothingWhileTheListIsFresh() {
    WatchServer a = network.controlPlane(A);
    ConfigWatcher watcher = watcher(PeerRole.GATEWAY, 77);
    watcher.start();
    for (int i = 0; i < 20; i++) {
      a.setServers(1, 1, ServerListCodec.encode(PUBLISHED), timers.now());
      timers.advance(1_000);
    }
    assertThat(fetchTimes, empty());
    assertThat(watcher.servers(), equalTo(PUBLISHED));
  }

  @Test
  void replacesAnOldListUntilAFresherOneIsPublished() {
    WatchServer a = network.controlPlane(A);
    a.setServers(1, 1, ServerListCodec.encode(PUBLISHED), timers.now());
    ConfigWatcher watcher = watcher(PeerRole.GATEWAY, 77);
    watcher.start();
    timers.advance(2_500);
    assertThat(fetchTimes, empty());
    timers.advance(1_500);
    assertThat(fetchTimes, hasSize(1));
    assertThat(watcher.servers(), equalTo(FETCHED));
    assertThat(watcher.serverListVersion(), equalTo(1L));
    a.setServers(1, 1, ServerListCodec.encode(PUBLISHED), timers.now());
    timers.advance(1_100);
    assertThat(watcher.servers(), equalTo(PUBLISHED));
  }

  @Test
  void fetchIntervalRespectsTheGatewaysShareOfTheRateLimit() {
    WatchServer a = network.controlPlane(A);
    a.setViewFactory(
        request -> {
          ClusterView view = new ClusterView();
          for (int i = 0; i < 80; i++) {
            view.gateways.add("c" + i);
          }
          return view;
        });
    watcher(PeerRole.GATEWAY, 77).start();
    timers.advance(60_000);
    assertThat(fetchTimes.size(), greaterThan(6));
    for (int i = 1; i < fetchTimes.size(); i++) {
      assertThat(fetchTimes.get(i) - fetchTimes.get(i - 1), greaterThanOrEqualTo(6_000L));
    }
  }

  @Test
  void soleGatewayFetchesAgainWheneverTheListIsTooOld() {
    ConfigWatcher watcher = watcher(PeerRole.GATEWAY, 77);
    watcher.start();
    timers.advance(4_300);
    for (int i = 0; i < 100; i++) {
      timers.advance(100);
      assertThat(watcher.serverListAgeMs(), lessThanOrEqualTo(4_000L));
    }
  }

  @Test
  void backsOffAfterRateLimitResponses() {
    status = 429;
    watcher(PeerRole.GATEWAY, 77).start();
    timers.advance(13_000);
    assertThat(fetchTimes.size(), lessThanOrEqualTo(10));
    assertThat(fetchTimes.size(), greaterThan(3));
    for (int i = 1; i < fetchTimes.size(); i++) {
      assertThat(fetchTimes.get(i) - fetchTimes.get(i - 1), greaterThanOrEqualTo(1_000L));
    }
  }

  @Test
  void manyGatewaysSpreadTheirFetches() {
    Set<Long> times = new HashSet<>();
    for (int instanceId = 0; instanceId < 50; instanceId++) {
      watcher(PeerRole.GATEWAY, instanceId * 7_919L).start();
    }
    timers.advance(4_300);
    times.addAll(fetchTimes);
    assertThat(fetchTimes, hasSize(50));
    assertThat(times.size(), greaterThan(35));
    assertThat(fetchTimes.get(49) - fetchTimes.get(0), lessThan(1_100L));
  }

  @Test
  void fetchesNothingAfterClose() {
    ConfigWatcher watcher = watcher(PeerRole.GATEWAY, 77);
    watcher.start();
    timers.advance(3_100);
    watcher.close();
    int before = fetchTimes.size();
    timers.advance(20_000);
    assertThat(fetchTimes, hasSize(before));
  }
}
