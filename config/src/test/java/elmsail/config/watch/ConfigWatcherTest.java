package elmsail.config.watch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.nullValue;

import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.PullResponse;
import elmsail.rpc.messages.VoterSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class ConfigWatcherTest extends ConfigWatcherTestBase {
  @Test
  void watchesEachSeedAndReportsItsIdentity() {
    watcher.start();
    assertThat(watcher.upstreams(), containsInAnyOrder(A, B, C));
    PullRequest request = network.lastRequest(A);
    assertThat(request.machine, equalTo("counter-x-1"));
    assertThat(request.address, equalTo("10.1.0.13:7720"));
    assertThat(request.role, equalTo("gateway"));
    assertThat(request.instanceId, equalTo(77L));
    assertThat(request.maxWaitMs, equalTo(1_000L));
    assertThat(watcher.config(), nullValue());
    assertThat(watcher.servers(), empty());
    assertThat(watcher.serverListAgeMs(), equalTo(Long.MAX_VALUE));
  }

  @Test
  void controlPlaneNodeDoesNotWatchItself() {
    ConfigWatcher controlPlane =
        watcher(PeerRole.CONTROL_PLANE, Set.of("head_office"), () -> StoreStatus.NONE);
    controlPlane.start();
    assertThat(controlPlane.upstreams(), containsInAnyOrder(B, C));
  }

  @Test
  void storeReportsItsCurrentStatusWithEachRequest() {
    List<StoreStatus> status = new ArrayList<>(List.of(StoreStatus.NONE));
    ConfigWatcher store = watcher(PeerRole.STORE, Set.of("vault"), () -> status.get(0));
    store.start();
    assertThat(network.lastRequest(A).voting, equalTo(false));
    VoterSet jobStoreVoters = voterSet("v:1", 4);
    status.set(0, new StoreStatus(true, true, jobStoreVoters));
    timers.advance(1_100);
    assertThat(network.lastRequest(A).voting, equalTo(true));
    assertThat(network.lastRequest(A).drained, equalTo(true));
    assertThat(network.lastRequest(A).jobStoreVoters, equalTo(jobStoreVoters));
  }

  @Test
  void changeIsAppliedAtOnceAndNotifiedOnce() {
    watcher.start();
    timers.advance(300);
    int before = changeCount;
    for (WatchServer controlPlane : List.of(a, b, c)) {
      controlPlane.setConfig(7, config(7));
    }
    timers.advance(5);
    assertThat(watcher.config().version(), equalTo(7L));
    assertThat(watcher.configBytes(), equalTo(config(7)));
    timers.advance(2_000);
    assertThat(changeCount, equalTo(before + 1));
  }

  @Test
  void olderVersionNeverReplacesANewerOne() {
    a.setConfig(9, config(9));
    b.setConfig(7, config(7));
    watcher.start();
    timers.advance(100);
    assertThat(watcher.config().version(), equalTo(9L));
    c.setConfig(8, config(8));
    network.controlPlane(A).setConfig(5, config(5));
    timers.advance(5_000);
    assertThat(watcher.config().version(), equalTo(9L));
    watcher.offerConfig(config(8));
    assertThat(watcher.config().version(), equalTo(9L));
    watcher.offerConfig(config(10));
    assertThat(watcher.config().version(), equalTo(10L));
  }

  @Test
  void ignoresAnOlderVersionThatArrivesLate() {
    CompletableFuture<PullResponse> late = new CompletableFuture<>();
    network.controlPlanes.put(A, request -> late);
    b.setConfig(9, config(9));
    watcher.start();
    timers.advance(100);
    PullResponse response = new PullResponse();
    response.configVersion = 8;
    response.config = config(8);
    late.complete(response);
    timers.advance(100);
    assertThat(watcher.config().version(), equalTo(9L));
  }

  @Test
  void requestsFollowAtOnceButAtLeastTwentyMsApart() {
    watcher.start();
    timers.advance(300);
    List<Long> times = network.requestTimes(A);
    assertThat(times.subList(0, 2), contains(1_000L, 1_020L));
    assertThat(times, hasSize(2));
    a.setConfig(7, config(7));
    timers.advance(5);
    assertThat(network.requestTimes(A), hasSize(3));
    assertThat(network.requestTimes(A).get(2), equalTo(1_305L));
  }

  @Test
  void backsOffAfterFailures() {
    network.controlPlanes.remove(A);
    watcher.start();
    timers.advance(2_000);
    assertThat(network.requestTimes(A), contains(1_000L, 1_105L, 1_310L, 1_715L, 2_220L, 2_725L));
    assertThat(watcher.failedRequests(), greaterThan(4L));
    assertThat(watcher.lastResponseAgeMs(A), equalTo(Long.MAX_VALUE));
    assertThat(watcher.lastResponseAgeMs(B), lessThan(1_100L));
  }

  @Test
  void updatesOfOtherNodesArriveDuringAOneWayPartitionOfOneNode() {
    watcher.start();
    timers.advance(100);
    network.droppedResponses.add(A);
    a.setServers(1, 1, encodedList("i-1"), timers.now());
    a.setConfig(7, config(7));
    timers.advance(2_500);
    assertThat(watcher.config(), nullValue());
    assertThat(watcher.lastResponseAgeMs(A), greaterThan(2_400L));
    b.setConfig(7, config(7));
    timers.advance(10);
    assertThat(watcher.config().version(), equalTo(7L));
    assertThat(a.peersSeenWithin(2_000), hasSize(1));
    network.droppedResponses.clear();
    timers.advance(4_000);
    assertThat(watcher.servers(), hasSize(1));
    network.droppedRequests.add(A);
    timers.advance(4_000);
    assertThat(a.peersSeenWithin(1_500), empty());
    assertThat(b.peersSeenWithin(1_500), hasSize(1));
  }

  @Test
  void rejectsMalformedUpdatesAndBacksOff() {
    a.setConfig(7, new byte[] {'{'});
    a.setServers(1, 1, encodedList("i-1"), timers.now());
    b.setConfig(6, config(6));
    network.controlPlanes.remove(C);
    watcher.start();
    timers.advance(3_000);
    assertThat(watcher.config().version(), equalTo(6L));
    assertThat(watcher.servers(), hasSize(1));
    assertThat(watcher.rejectedUpdates(), greaterThan(3L));
    assertThat(network.requestTimes(A).size(), lessThan(12));
  }

  @Test
  void rejectsAConfigWhoseVersionDiffersFromTheAnnouncedOne() {
    a.setConfig(9, config(7));
    watcher.start();
    timers.advance(500);
    assertThat(watcher.config(), nullValue());
    assertThat(watcher.rejectedUpdates(), greaterThan(0L));
  }

  @Test
  void listenerExceptionDoesNotEndTheWatch() {
    watcher.addListener(
        () -> {
          throw new IllegalStateException("listener failed");
        });
    a.setConfig(7, config(7));
    watcher.start();
    timers.advance(500);
    a.setConfig(8, config(8));
    timers.advance(500);
    assertThat(watcher.config().version(), equalTo(8L));
  }

  @Test
  void sendsNothingAfterClose() {
    watcher.start();
    timers.advance(500);
    watcher.close();
    int requestsBeforeClose = network.requests.size();
    a.setConfig(7, config(7));
    timers.advance(10_000);
    assertThat(network.requests, hasSize(requestsBeforeClose));
    assertThat(watcher.config(), nullValue());
    assertThat(timers.runNext(), equalTo(false));
  }
}
