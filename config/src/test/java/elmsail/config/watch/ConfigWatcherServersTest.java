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

class ConfigWatcherServersTest extends ConfigWatcherRig {
  private int completeLists;

  /** Counts the responses that bring a complete list. */
  private void count(String address, WatchServer controlPlane) {
    links.controlPlanes.put(
        address,
        request ->
            controlPlane
                .watch(request)
                .thenApply(
                    response -> {
                      completeLists += response.servers == null ? 0 : 1;
                      return response;
                    }));
  }

  /** Number of complete lists that the nodes send within a second of a new version. */
  private int listsSent(long version, WatchServer... notaries) {
    completeLists = 0;
    for (WatchServer controlPlane : notaries) {
      controlPlane.setServers(1, version, list("i-" + version), timers.now());
    }
    timers.advance(1_000);
    return completeLists;
  }

  @BeforeEach
  void countLists() {
    count(A, a);
    count(B, b);
    count(C, c);
  }

  @Test
  void tracksTheAgeOfTheListFromUpdates() {
    a.setServers(1, 1, list("i-1"), timers.now() - 400);
    watcher.start();
    timers.advance(10);
    assertThat(watcher.serverListAgeMs(), equalTo(405L));
    assertThat(watcher.serverListFetchedAtMs(), equalTo(605L));
    timers.advance(600);
    assertThat(watcher.serverListAgeMs(), equalTo(1_005L));
    int before = changes;
    a.setServers(1, 1, list("i-1"), timers.now());
    timers.advance(900);
    assertThat(watcher.serverListAgeMs(), lessThanOrEqualTo(1_000L));
    assertThat(changes, equalTo(before));
  }

  @Test
  void ignoresAListOfALowerEpoch() {
    a.setServers(2, 1, list("i-2"), timers.now());
    b.setServers(1, 50, list("i-1"), timers.now());
    watcher.start();
    timers.advance(2_000);
    assertThat(watcher.servers(), equalTo(ServerListCodec.decode(list("i-2"))));
    assertThat(watcher.serverListEpoch(), equalTo(2L));
    assertThat(watcher.serverListVersion(), equalTo(1L));
    watcher.offerServers(2, 2, list("i-3"), timers.now());
    assertThat(watcher.servers(), equalTo(ServerListCodec.decode(list("i-3"))));
    assertThat(watcher.serverListBytes(), equalTo(list("i-3")));
  }

  @Test
  void gatewayTakesListsFromTheNearestNodeWhileTheyAreFresh() {
    watcher.start();
    for (int version = 1; version <= 3; version++) {
      listsSent(version, a, b, c);
    }
    for (int version = 4; version <= 9; version++) {
      assertThat(listsSent(version, a, b, c), equalTo(1));
      assertThat(watcher.serverListVersion(), equalTo((long) version));
      assertThat(links.lastRequest(A).serverListEpoch, equalTo(1L));
      assertThat(links.lastRequest(B).serverListEpoch, equalTo(Long.MAX_VALUE));
      assertThat(links.lastRequest(C).serverListEpoch, equalTo(Long.MAX_VALUE));
    }
  }

  @Test
  void gatewayDoesNotWaitForANearestNodeThatIsPartitionedOrBehind() {
    watcher.start();
    for (int version = 1; version <= 3; version++) {
      listsSent(version, a, b, c);
    }
    for (int version = 4; version <= 9; version++) {
      listsSent(version, b, c);
      assertThat(watcher.serverListAgeMs(), lessThan(2_500L));
    }
    assertThat(watcher.serverListVersion(), greaterThan(7L));
    links.droppedResponses.add(A);
    for (int version = 10; version <= 15; version++) {
      listsSent(version, a, b, c);
      assertThat(watcher.serverListAgeMs(), lessThan(2_500L));
    }
    assertThat(watcher.serverListVersion(), equalTo(15L));
  }

  @Test
  void storeTakesNoListAndControlPlaneNodeTakesItFromAll() {
    a.setServers(1, 1, list("i-1"), timers.now());
    ConfigWatcher store = watcher(PeerRole.STORE, Set.of("vault"), () -> StoreStatus.NONE);
    store.start();
    timers.advance(1_500);
    assertThat(store.servers(), empty());
    ConfigWatcher controlPlane =
        watcher(PeerRole.CONTROL_PLANE, Set.of("head_office"), () -> StoreStatus.NONE);
    controlPlane.start();
    timers.advance(1_500);
    b.setServers(1, 1, list("i-1"), timers.now());
    timers.advance(10);
    assertThat(controlPlane.servers(), hasSize(1));
    c.setServers(1, 2, list("i-2"), timers.now());
    timers.advance(10);
    assertThat(controlPlane.serverListVersion(), equalTo(2L));
  }
}
