package elmsail.config.watch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import elmsail.config.ServerListCodec;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ConfigWatcherServersTest extends ConfigWatcherTestBase {
  private int completeListCount;

  /** Counts the responses of a node that contain a complete list. */
  private void countCompleteLists(String address, WatchServer controlPlane) {
    network.controlPlanes.put(
        address,
        request ->
            controlPlane
                .watch(request)
                .thenApply(
                    response -> {
                      completeListCount += response.servers == null ? 0 : 1;
                      return response;
                    }));
  }

  /**
   * Publishes a new version; returns the number of complete lists that the nodes send within a
   * second.
   */
  private int publishAndCountLists(long version, WatchServer... controlPlanes) {
    completeListCount = 0;
    for (WatchServer controlPlane : controlPlanes) {
      controlPlane.setServers(1, version, encodedList("i-" + version), timers.now());
    }
    timers.advance(1_000);
    return completeListCount;
  }

  @BeforeEach
  void countListsOfAllNodes() {
    countCompleteLists(A, a);
    countCompleteLists(B, b);
    countCompleteLists(C, c);
  }

  @Test
  void tracksTheAgeOfTheListFromUpdates() {
    a.setServers(1, 1, encodedList("i-1"), timers.now() - 400);
    watcher.start();
    timers.advance(10);
    assertThat(watcher.serverListAgeMs(), equalTo(405L));
    assertThat(watcher.serverListFetchedAtMs(), equalTo(605L));
    timers.advance(600);
    assertThat(watcher.serverListAgeMs(), equalTo(1_005L));
    int before = changeCount;
    a.setServers(1, 1, encodedList("i-1"), timers.now());
    timers.advance(900);
    assertThat(watcher.serverListAgeMs(), lessThanOrEqualTo(1_000L));
    assertThat(changeCount, equalTo(before));
  }

  @Test
  void ignoresAListOfALowerEpoch() {
    a.setServers(2, 1, encodedList("i-2"), timers.now());
    b.setServers(1, 50, encodedList("i-1"), timers.now());
    watcher.start();
    timers.advance(2_000);
    assertThat(watcher.servers(), equalTo(ServerListCodec.decode(encodedList("i-2"))));
    assertThat(watcher.serverListEpoch(), equalTo(2L));
    assertThat(watcher.serverListVersion(), equalTo(1L));
    watcher.offerServers(2, 2, encodedList("i-3"), timers.now());
    assertThat(watcher.servers(), equalTo(ServerListCodec.decode(encodedList("i-3"))));
    assertThat(watcher.serverListBytes(), equalTo(encodedList("i-3")));
  }

  @Test
  void gatewayRequestsListsOnlyFromTheNearestNodeWhileTheyAreFresh() {
    watcher.start();
    for (int version = 1; version <= 3; version++) {
      publishAndCountLists(version, a, b, c);
    }
    for (int version = 4; version <= 9; version++) {
      assertThat(publishAndCountLists(version, a, b, c), equalTo(1));
      assertThat(watcher.serverListVersion(), equalTo((long) version));
      assertThat(network.lastRequest(A).serverListEpoch, equalTo(1L));
      assertThat(network.lastRequest(B).serverListEpoch, equalTo(Long.MAX_VALUE));
      assertThat(network.lastRequest(C).serverListEpoch, equalTo(Long.MAX_VALUE));
    }
  }

  @Test
  void gatewayTakesListsFromOtherNodesIfTheNearestIsPartitionedOrOutdated() {
    watcher.start();
    for (int version = 1; version <= 3; version++) {
      publishAndCountLists(version, a, b, c);
    }
    for (int version = 4; version <= 9; version++) {
      publishAndCountLists(version, b, c);
      assertThat(watcher.serverListAgeMs(), lessThan(2_500L));
    }
    assertThat(watcher.serverListVersion(), greaterThan(7L));
    network.droppedResponses.add(A);
    for (int version = 10; version <= 15; version++) {
      publishAndCountLists(version, a, b, c);
      assertThat(watcher.serverListAgeMs(), lessThan(2_500L));
    }
    assertThat(watcher.serverListVersion(), equalTo(15L));
  }

  @Test
  void storeRequestsNoListAndControlPlaneNodeRequestsItFromAllNodes() {
    a.setServers(1, 1, encodedList("i-1"), timers.now());
    ConfigWatcher store = watcher(PeerRole.STORE, Set.of("vault"), () -> StoreStatus.NONE);
    store.start();
    timers.advance(1_500);
    assertThat(store.servers(), empty());
    ConfigWatcher controlPlane =
        watcher(PeerRole.CONTROL_PLANE, Set.of("head_office"), () -> StoreStatus.NONE);
    controlPlane.start();
    timers.advance(1_500);
    b.setServers(1, 1, encodedList("i-1"), timers.now());
    timers.advance(10);
    assertThat(controlPlane.servers(), hasSize(1));
    c.setServers(1, 2, encodedList("i-2"), timers.now());
    timers.advance(10);
    assertThat(controlPlane.serverListVersion(), equalTo(2L));
  }
}
