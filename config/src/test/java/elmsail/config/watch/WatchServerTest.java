package elmsail.config.watch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import elmsail.rpc.messages.ClusterView;
import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.PullResponse;
import elmsail.runtime.ManualTimers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class WatchServerTest {
  private static final byte[] FIVE = {5};
  private static final byte[] SEVEN = {7};
  private final ManualTimers timers = new ManualTimers();
  private final WatchServer server = new WatchServer(timers);

  private static PullRequest request(String key, long waitMs) {
    PullRequest request = new PullRequest();
    request.machine = key;
    request.role = "gateway";
    request.maxWaitMs = waitMs;
    return request;
  }

  /** A request that names the current versions of all published data. */
  private PullRequest upToDateRequest(String key, long waitMs) {
    PullResponse all = server.watch(request(key, 0)).join();
    PullRequest request = request(key, waitMs);
    request.configVersion = all.configVersion;
    request.serverListEpoch = all.serverListEpoch;
    request.serverListVersion = all.serverListVersion;
    request.viewVersion = all.viewVersion;
    return request;
  }

  @Test
  void respondsAtOnceIfSomethingIsNewer() {
    server.setConfig(5, FIVE);
    server.setServers(1, 1, SEVEN, timers.now() - 300);
    CompletableFuture<PullResponse> pending = server.watch(request("c-1", 1_000));
    assertThat(pending.isDone(), equalTo(true));
    PullResponse response = pending.join();
    assertThat(response.configVersion, equalTo(5L));
    assertThat(response.config, equalTo(FIVE));
    assertThat(response.servers, equalTo(SEVEN));
    assertThat(response.serverListAgeMs, equalTo(300L));
    assertThat(response.view, notNullValue());
  }

  @Test
  void respondsWithTheAgeAloneWhenTheWaitElapses() {
    server.setConfig(5, FIVE);
    server.setServers(1, 1, SEVEN, timers.now());
    CompletableFuture<PullResponse> pending = server.watch(upToDateRequest("c-1", 1_000));
    timers.advance(999);
    assertThat(pending.isDone(), equalTo(false));
    timers.advance(1);
    PullResponse response = pending.join();
    assertThat(response.config, nullValue());
    assertThat(response.servers, nullValue());
    assertThat(response.view, nullValue());
    assertThat(response.configVersion, equalTo(5L));
    assertThat(response.serverListAgeMs, equalTo(1_000L));
    assertThat(server.pendingWatches(), equalTo(0));
  }

  @Test
  void changeCompletesOnlyTheWatchesWithOlderVersions() {
    CompletableFuture<PullResponse> behind = server.watch(upToDateRequest("c-1", 1_000));
    PullRequest aheadRequest = upToDateRequest("c-2", 1_000);
    aheadRequest.configVersion = 6;
    CompletableFuture<PullResponse> ahead = server.watch(aheadRequest);
    timers.advance(400);
    server.setConfig(5, FIVE);
    timers.advance(0);
    assertThat(behind.join().config, equalTo(FIVE));
    assertThat(ahead.isDone(), equalTo(false));
    server.setConfig(7, SEVEN);
    timers.advance(0);
    assertThat(ahead.join().config, equalTo(SEVEN));
    assertThat(timers.runNext(), equalTo(false));
  }

  @Test
  void changesOfOneLoopIterationArePublishedTogether() {
    CompletableFuture<PullResponse> pending = server.watch(upToDateRequest("c-1", 1_000));
    server.setConfig(5, FIVE);
    server.setServers(1, 1, SEVEN, timers.now());
    timers.advance(0);
    assertThat(pending.join().config, equalTo(FIVE));
    assertThat(pending.join().servers, equalTo(SEVEN));
  }

  @Test
  void ignoresOlderVersions() {
    server.setConfig(7, SEVEN);
    server.setConfig(5, FIVE);
    server.setConfig(7, FIVE);
    server.setServers(2, 1, SEVEN, timers.now());
    server.setServers(1, 9, FIVE, timers.now());
    PullResponse response = server.watch(request("c-1", 0)).join();
    assertThat(response.config, equalTo(SEVEN));
    assertThat(response.servers, equalTo(SEVEN));
    assertThat(response.serverListEpoch, equalTo(2L));
  }

  @Test
  void sameListOnlyRefreshesTheAge() {
    server.setServers(1, 1, SEVEN, timers.now());
    CompletableFuture<PullResponse> pending = server.watch(upToDateRequest("c-1", 1_000));
    timers.advance(600);
    server.setServers(1, 1, SEVEN, timers.now());
    timers.advance(0);
    assertThat(pending.isDone(), equalTo(false));
    timers.advance(400);
    assertThat(pending.join().serverListAgeMs, equalTo(400L));
  }

  @Test
  void watcherAheadOfThisNodeReceivesNothingOlder() {
    server.setConfig(5, FIVE);
    server.setServers(1, 8, SEVEN, timers.now());
    PullRequest ahead = upToDateRequest("c-1", 1_000);
    ahead.configVersion = 9;
    ahead.serverListEpoch = 2;
    ahead.serverListVersion = 1;
    CompletableFuture<PullResponse> pending = server.watch(ahead);
    assertThat(pending.isDone(), equalTo(false));
    timers.advance(1_000);
    assertThat(pending.join().config, nullValue());
    assertThat(pending.join().servers, nullValue());
  }

  @Test
  void viewsAreBuiltPerWatcherAndPublishedOnChange() {
    server.setViewFactory(
        request -> {
          ClusterView view = new ClusterView();
          view.joinSlot = request.machine.equals("v-2") ? 1 : -1;
          return view;
        });
    timers.advance(0);
    CompletableFuture<PullResponse> one = server.watch(upToDateRequest("v-1", 1_000));
    CompletableFuture<PullResponse> two = server.watch(upToDateRequest("v-2", 1_000));
    timers.advance(10);
    assertThat(one.isDone(), equalTo(false));
    server.onViewChanged();
    timers.advance(0);
    assertThat(one.join().view.joinSlot, equalTo(-1));
    assertThat(two.join().view.joinSlot, equalTo(1));
  }

  @Test
  void viewVersionOfAnotherIncarnationIsAnsweredWithACompleteView() {
    PullRequest other = upToDateRequest("c-1", 1_000);
    other.viewVersion += 100_000;
    assertThat(server.watch(other).join().view, notNullValue());
    timers.advance(5);
    assertThat(
        new WatchServer(timers).watch(request("c-1", 0)).join().viewVersion,
        not(equalTo(server.watch(request("c-1", 0)).join().viewVersion)));
  }

  @Test
  void secondRequestOfAWatcherEndsItsFirst() {
    CompletableFuture<PullResponse> first = server.watch(upToDateRequest("c-1", 1_000));
    CompletableFuture<PullResponse> second = server.watch(upToDateRequest("c-1", 1_000));
    assertThat(first.isDone(), equalTo(true));
    assertThat(second.isDone(), equalTo(false));
    assertThat(server.pendingWatches(), equalTo(1));
    timers.advance(1_000);
    assertThat(second.isDone(), equalTo(true));
  }

  @Test
  void keepsAtMostTwoThousandPendingWatches() {
    List<CompletableFuture<PullResponse>> pendingResponses = new ArrayList<>();
    for (int i = 0; i < 2_001; i++) {
      pendingResponses.add(server.watch(upToDateRequest("c-" + i, 1_000)));
    }
    assertThat(server.pendingWatches(), equalTo(2_000));
    assertThat(pendingResponses.get(1_999).isDone(), equalTo(false));
    assertThat(pendingResponses.get(2_000).isDone(), equalTo(true));
  }

  @Test
  void waitsAtMostTenSeconds() {
    CompletableFuture<PullResponse> pending = server.watch(upToDateRequest("c-1", Long.MAX_VALUE));
    timers.advance(10_000);
    assertThat(pending.isDone(), equalTo(true));
  }

  @Test
  void recordsPeersAndWhenTheyWereSeen() {
    List<Long> calls = new ArrayList<>();
    server.setPeerListener(() -> calls.add(timers.now()));
    PullRequest store = request("v-1", 0);
    store.role = "store";
    store.instanceId = 9;
    store.address = "10.0.0.1:7720";
    server.watch(store);
    timers.advance(500);
    server.watch(request("c-1", 0));
    timers.advance(500);
    server.watch(store);
    timers.advance(100);
    assertThat(calls, hasSize(2));
    assertThat(
        server.peersSeenWithin(100),
        contains(
            new PeerStatus(
                "v-1",
                "10.0.0.1:7720",
                "",
                "store",
                9,
                false,
                false,
                store.jobStoreVoters,
                timers.now() - 100)));
    assertThat(server.peersSeenWithin(600), hasSize(2));
    store.instanceId = 10;
    server.watch(store);
    timers.advance(0);
    assertThat(calls, hasSize(3));
    assertThat(server.peersSeenWithin(0).get(0).instanceId(), equalTo(10L));
  }

  @Test
  void removesThePeerSeenLongestAgoAboveTheLimit() {
    for (int i = 0; i < 4_005; i++) {
      server.watch(request("c-" + i, 0));
    }
    assertThat(server.peersSeenWithin(1), hasSize(4_000));
  }
}
