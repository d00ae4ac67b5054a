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

class ConfigWatcherTest extends ConfigWatcherRig {
  @Test
  void asksEachSeedAndSaysWhoItIs() {
    watcher.start();
    assertThat(watcher.asked(), containsInAnyOrder(A, B, C));
    PullRequest request = links.last(A);
    assertThat(request.machine, equalTo("counter-x-1"));
    assertThat(request.address, equalTo("10.1.0.13:7720"));
    assertThat(request.role, equalTo("gateway"));
    assertThat(request.instanceId, equalTo(77L));
    assertThat(request.maxWaitMs, equalTo(1_000L));
    assertThat(watcher.config(), nullValue());
    assertThat(watcher.servers(), empty());
    assertThat(watcher.listAgeMs(), equalTo(Long.MAX_VALUE));
  }

  @Test
  void aNotaryDoesNotAskItself() {
    ConfigWatcher controlPlane =
        watcher("controlplane", Set.of("head_office"), () -> StoreStatus.NONE);
    controlPlane.start();
    assertThat(controlPlane.asked(), containsInAnyOrder(B, C));
  }

  @Test
  void aVaultTellsItsPartAsItIsAtEachAsk() {
    List<StoreStatus> part = new ArrayList<>(List.of(StoreStatus.NONE));
    ConfigWatcher store = watcher("store", Set.of("vault"), () -> part.get(0));
    store.start();
    assertThat(links.last(A).voting, equalTo(false));
    VoterSet storeSet = voterSet("v:1", 4);
    part.set(0, new StoreStatus(true, true, storeSet));
    timers.advance(1_100);
    assertThat(links.last(A).voting, equalTo(true));
    assertThat(links.last(A).drained, equalTo(true));
    assertThat(links.last(A).jobStoreVoters, equalTo(storeSet));
  }

  @Test
  void aChangeIsThereAtOnceAndToldOnce() {
    watcher.start();
    timers.advance(300);
    int before = changes;
    for (UpdateSources controlPlane : List.of(a, b, c)) {
      controlPlane.setConfig(7, config(7));
    }
    timers.advance(5);
    assertThat(watcher.config().edition(), equalTo(7L));
    assertThat(watcher.configBytes(), equalTo(config(7)));
    timers.advance(2_000);
    assertThat(changes, equalTo(before + 1));
  }

  @Test
  void anOlderEditionNeverWins() {
    a.setConfig(9, config(9));
    b.setConfig(7, config(7));
    watcher.start();
    timers.advance(100);
    assertThat(watcher.config().edition(), equalTo(9L));
    c.setConfig(8, config(8));
    links.controlPlane(A).setConfig(5, config(5));
    timers.advance(5_000);
    assertThat(watcher.config().edition(), equalTo(9L));
    watcher.offerConfig(config(8));
    assertThat(watcher.config().edition(), equalTo(9L));
    watcher.offerConfig(config(10));
    assertThat(watcher.config().edition(), equalTo(10L));
  }

  @Test
  void anOlderEditionThatComesLateIsPassedOver() {
    CompletableFuture<PullResponse> late = new CompletableFuture<>();
    links.notaries.put(A, request -> late);
    b.setConfig(9, config(9));
    watcher.start();
    timers.advance(100);
    PullResponse response = new PullResponse();
    response.configVersion = 8;
    response.config = config(8);
    late.complete(response);
    timers.advance(100);
    assertThat(watcher.config().edition(), equalTo(9L));
  }

  @Test
  void asksFollowAtOnceButTwentyMsApart() {
    watcher.start();
    timers.advance(300);
    List<Long> times = links.times(A);
    assertThat(times.subList(0, 2), contains(1_000L, 1_020L));
    assertThat(times, hasSize(2));
    a.setConfig(7, config(7));
    timers.advance(5);
    assertThat(links.times(A), hasSize(3));
    assertThat(links.times(A).get(2), equalTo(1_305L));
  }

  @Test
  void failuresSpreadOut() {
    links.notaries.remove(A);
    watcher.start();
    timers.advance(2_000);
    assertThat(links.times(A), contains(1_000L, 1_105L, 1_310L, 1_715L, 2_220L, 2_725L));
    assertThat(watcher.failures(), greaterThan(4L));
    assertThat(watcher.heardAgoMs(A), equalTo(Long.MAX_VALUE));
    assertThat(watcher.heardAgoMs(B), lessThan(1_100L));
  }

  @Test
  void aCutOneWayToOneNotaryLeavesTheOthersWord() {
    watcher.start();
    timers.advance(100);
    links.cutBack.add(A);
    a.setServers(1, 1, list("i-1"), timers.now());
    a.setConfig(7, config(7));
    timers.advance(2_500);
    assertThat(watcher.config(), nullValue());
    assertThat(watcher.heardAgoMs(A), greaterThan(2_400L));
    b.setConfig(7, config(7));
    timers.advance(10);
    assertThat(watcher.config().edition(), equalTo(7L));
    assertThat(a.heardWithin(2_000), hasSize(1));
    links.cutBack.clear();
    timers.advance(4_000);
    assertThat(watcher.servers(), hasSize(1));
    links.cutThere.add(A);
    timers.advance(4_000);
    assertThat(a.heardWithin(1_500), empty());
    assertThat(b.heardWithin(1_500), hasSize(1));
  }

  @Test
  void whatCannotBeReadIsNotTakenAndNotAskedForInHaste() {
    a.setConfig(7, new byte[] {'{'});
    a.setServers(1, 1, list("i-1"), timers.now());
    b.setConfig(6, config(6));
    links.notaries.remove(C);
    watcher.start();
    timers.advance(3_000);
    assertThat(watcher.config().edition(), equalTo(6L));
    assertThat(watcher.servers(), hasSize(1));
    assertThat(watcher.unreadable(), greaterThan(3L));
    assertThat(links.times(A).size(), lessThan(12));
  }

  @Test
  void anotherEditionThanToldIsNotTaken() {
    a.setConfig(9, config(7));
    watcher.start();
    timers.advance(500);
    assertThat(watcher.config(), nullValue());
    assertThat(watcher.unreadable(), greaterThan(0L));
  }

  @Test
  void aListenersFaultDoesNotEndTheAsking() {
    watcher.whenChanged(
        () -> {
          throw new IllegalStateException("a listener's fault");
        });
    a.setConfig(7, config(7));
    watcher.start();
    timers.advance(500);
    a.setConfig(8, config(8));
    timers.advance(500);
    assertThat(watcher.config().edition(), equalTo(8L));
  }

  @Test
  void afterTheCloseNothingIsAsked() {
    watcher.start();
    timers.advance(500);
    watcher.close();
    int asks = links.sent.size();
    a.setConfig(7, config(7));
    timers.advance(10_000);
    assertThat(links.sent, hasSize(asks));
    assertThat(watcher.config(), nullValue());
    assertThat(timers.runNext(), equalTo(false));
  }
}
