package elmsail.config.watch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.not;

import elmsail.rpc.messages.ClusterView;
import elmsail.rpc.messages.PullResponse;
import elmsail.rpc.messages.VoterSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class ConfigWatcherViewTest extends ConfigWatcherTestBase {
  @Test
  void mergesVotersByEpochAndGatewaysByUnion() {
    VoterSet controlPlaneVoters = voterSet(A, 1, B, 1, C, 1);
    a.setViewFactory(
        request ->
            view(controlPlaneVoters, voterSet("v1:1", 1, "v2:1", 3, "v3:1", 1), "c1:1", "c2:1"));
    b.setViewFactory(
        request ->
            view(controlPlaneVoters, voterSet("v4:1", 2, "v2:1", 1, "v3:1", 1), "c2:1", "c3:1"));
    c.setViewFactory(request -> view(controlPlaneVoters, new VoterSet(), "c4:1"));
    watcher.start();
    timers.advance(100);
    assertThat(
        addressesWithEpochs(watcher.view().jobStoreVoters), contains("v4:1#2", "v2:1#3", "v3:1#1"));
    assertThat(
        addressesWithEpochs(watcher.view().controlPlaneVoters),
        contains(A + "#1", B + "#1", C + "#1"));
    assertThat(watcher.view().gateways, contains("c1:1", "c2:1", "c3:1", "c4:1"));
    a.setViewFactory(
        request -> view(controlPlaneVoters, voterSet("v1:1", 1, "v2:1", 1, "v3:1", 1), "c1:1"));
    b.setViewFactory(request -> view(controlPlaneVoters, new VoterSet()));
    timers.advance(100);
    assertThat(
        addressesWithEpochs(watcher.view().jobStoreVoters), contains("v4:1#2", "v2:1#3", "v3:1#1"));
    assertThat(watcher.view().gateways, contains("c1:1", "c4:1"));
  }

  @Test
  void ignoresGatewaysOfAnUnresponsiveNode() {
    a.setViewFactory(request -> view(new VoterSet(), new VoterSet(), "c1:1"));
    b.setViewFactory(request -> view(new VoterSet(), new VoterSet(), "c2:1"));
    watcher.start();
    timers.advance(100);
    assertThat(watcher.view().gateways, contains("c1:1", "c2:1"));
    network.controlPlanes.remove(A);
    timers.advance(8_000);
    assertThat(watcher.view().gateways, contains("c2:1"));
    network.controlPlanes.clear();
    timers.advance(10_000);
    assertThat(watcher.view().gateways, contains("c2:1"));
  }

  @Test
  void acceptsLowerViewVersionsOfARestartedNode() {
    long[] version = {500};
    String[] gateway = {"c1:1"};
    network.controlPlanes.put(
        A,
        request -> {
          PullResponse response = new PullResponse();
          response.viewVersion = version[0];
          response.view =
              request.viewVersion == version[0]
                  ? null
                  : view(new VoterSet(), new VoterSet(), gateway);
          CompletableFuture<PullResponse> answer = new CompletableFuture<>();
          timers.schedule(
              response.view == null ? request.maxWaitMs : 0, () -> answer.complete(response));
          return answer;
        });
    watcher.start();
    timers.advance(100);
    assertThat(network.lastRequest(A).viewVersion, equalTo(500L));
    version[0] = 1;
    gateway[0] = "c9:1";
    timers.advance(2_200);
    assertThat(watcher.view().gateways, contains("c9:1"));
    assertThat(network.lastRequest(A).viewVersion, equalTo(1L));
  }

  @Test
  void requestsTheViewAgainAfterALowerViewVersionWithoutAView() {
    long[] version = {500};
    network.controlPlanes.put(
        A,
        request -> {
          PullResponse response = new PullResponse();
          response.viewVersion = version[0];
          response.view =
              request.viewVersion >= version[0]
                  ? null
                  : view(new VoterSet(), new VoterSet(), "v" + version[0]);
          CompletableFuture<PullResponse> answer = new CompletableFuture<>();
          timers.schedule(
              response.view == null ? request.maxWaitMs : 0, () -> answer.complete(response));
          return answer;
        });
    watcher.start();
    timers.advance(100);
    version[0] = 1;
    timers.advance(2_500);
    assertThat(watcher.view().gateways, contains("v1"));
  }

  @Test
  void joinOrderOfAnyNodeReachesTheListener() {
    List<String> joins = new ArrayList<>();
    watcher.setJoinListener((slot, epoch) -> joins.add(slot + "#" + epoch));
    watcher.start();
    timers.advance(100);
    assertThat(joins, empty());
    b.setViewFactory(
        request -> {
          ClusterView view = new ClusterView();
          view.joinSlot = 0;
          view.joinEpoch = 3;
          return view;
        });
    timers.advance(10);
    assertThat(joins, contains("0#3"));
  }

  @Test
  void votersReplaceTheSeeds() {
    String moved = "10.9.0.1:7721";
    WatchServer movedControlPlane = network.controlPlane(moved);
    a.setViewFactory(request -> view(voterSet(A, 1, B, 1, moved, 2), new VoterSet()));
    watcher.start();
    timers.advance(50);
    assertThat(watcher.upstreams(), containsInAnyOrder(A, B, moved));
    movedControlPlane.setConfig(7, config(7));
    timers.advance(50);
    assertThat(watcher.config().version(), equalTo(7L));
    int requestsToC = network.requestTimes(C).size();
    timers.advance(3_000);
    assertThat(network.requestTimes(C), hasSize(requestsToC));
  }

  @Test
  void watchesTheSeedsAgainWhileNoVoterResponds() {
    a.setViewFactory(
        request ->
            view(voterSet("10.9.0.1:1", 1, "10.9.0.2:1", 1, "10.9.0.3:1", 1), new VoterSet()));
    watcher.start();
    timers.advance(50);
    assertThat(watcher.upstreams(), not(hasItem(A)));
    a.setViewFactory(request -> view(voterSet(A, 2, B, 2, C, 2), new VoterSet()));
    timers.advance(40_000);
    assertThat(watcher.upstreams(), containsInAnyOrder(A, B, C));
  }

  @Test
  void watchesThreeOfFiveAndReplacesAnUnresponsiveOne() {
    String d = "10.4.0.1:7721";
    String e = "10.5.0.1:7721";
    network.controlPlane(d);
    network.controlPlane(e);
    a.setViewFactory(request -> view(voterSet(A, 1, B, 1, C, 1, d, 1, e, 1), new VoterSet()));
    watcher.start();
    timers.advance(2_000);
    List<String> first = watcher.upstreams();
    assertThat(first, hasSize(3));
    String unresponsive = first.get(0);
    network.droppedRequests.add(unresponsive);
    timers.advance(9_000);
    assertThat(watcher.upstreams(), hasSize(3));
    assertThat(watcher.upstreams(), not(hasItem(unresponsive)));
    for (String responsive : first.subList(1, 3)) {
      assertThat(watcher.upstreams(), hasItem(responsive));
    }
    network.droppedRequests.clear();
    timers.advance(32_000);
    assertThat(watcher.upstreams(), containsInAnyOrder(first.toArray()));
  }

  @Test
  void storeWatchesAllVotersAndGatewayWatchesThree() {
    String d = "10.4.0.41:7721";
    String e = "10.5.0.52:7721";
    network.controlPlane(d);
    network.controlPlane(e);
    VoterSet five = voterSet(A, 1, B, 1, C, 1, d, 1, e, 1);
    a.setViewFactory(request -> view(five, new VoterSet()));
    ConfigWatcher store = watcher(PeerRole.STORE, Set.of("vault"), () -> StoreStatus.NONE);
    store.start();
    watcher.start();
    timers.advance(2_000);
    assertThat(store.upstreams(), containsInAnyOrder(A, B, C, d, e));
    assertThat(watcher.upstreams(), hasSize(3));
    network.droppedRequests.add(d);
    timers.advance(20_000);
    assertThat("unresponsive nodes included", store.upstreams(), containsInAnyOrder(A, B, C, d, e));
  }
}
