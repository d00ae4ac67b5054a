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
    puller.start();
    assertThat(puller.asked(), containsInAnyOrder(A, B, C));
    PullRequest request = links.last(A);
    assertThat(request.station, equalTo("counter-x-1"));
    assertThat(request.address, equalTo("10.1.0.13:7720"));
    assertThat(request.role, equalTo("gateway"));
    assertThat(request.instanceId, equalTo(77L));
    assertThat(request.waitMs, equalTo(1_000L));
    assertThat(puller.config(), nullValue());
    assertThat(puller.servers(), empty());
    assertThat(puller.listAgeMs(), equalTo(Long.MAX_VALUE));
  }

  @Test
  void aNotaryDoesNotAskItself() {
    ConfigWatcher controlPlane =
        puller("controlplane", Set.of("head_office"), () -> StoreStatus.NONE);
    controlPlane.start();
    assertThat(controlPlane.asked(), containsInAnyOrder(B, C));
  }

  @Test
  void aVaultTellsItsPartAsItIsAtEachAsk() {
    List<StoreStatus> part = new ArrayList<>(List.of(StoreStatus.NONE));
    ConfigWatcher store = puller("store", Set.of("vault"), () -> part.get(0));
    store.start();
    assertThat(links.last(A).voting, equalTo(false));
    VoterSet storeSet = voterSet("v:1", 4);
    part.set(0, new StoreStatus(true, true, storeSet));
    timers.pass(1_100);
    assertThat(links.last(A).voting, equalTo(true));
    assertThat(links.last(A).emptied, equalTo(true));
    assertThat(links.last(A).storeSet, equalTo(storeSet));
  }

  @Test
  void aChangeIsThereAtOnceAndToldOnce() {
    puller.start();
    timers.pass(300);
    int before = changes;
    for (UpdateSources controlPlane : List.of(a, b, c)) {
      controlPlane.setConfig(7, config(7));
    }
    timers.pass(5);
    assertThat(puller.config().edition(), equalTo(7L));
    assertThat(puller.configBytes(), equalTo(config(7)));
    timers.pass(2_000);
    assertThat(changes, equalTo(before + 1));
  }

  @Test
  void anOlderEditionNeverWins() {
    a.setConfig(9, config(9));
    b.setConfig(7, config(7));
    puller.start();
    timers.pass(100);
    assertThat(puller.config().edition(), equalTo(9L));
    c.setConfig(8, config(8));
    links.controlPlane(A).setConfig(5, config(5));
    timers.pass(5_000);
    assertThat(puller.config().edition(), equalTo(9L));
    puller.offerConfig(config(8));
    assertThat(puller.config().edition(), equalTo(9L));
    puller.offerConfig(config(10));
    assertThat(puller.config().edition(), equalTo(10L));
  }

  @Test
  void anOlderEditionThatComesLateIsPassedOver() {
    CompletableFuture<PullResponse> late = new CompletableFuture<>();
    links.notaries.put(A, request -> late);
    b.setConfig(9, config(9));
    puller.start();
    timers.pass(100);
    PullResponse response = new PullResponse();
    response.edition = 8;
    response.config = config(8);
    late.complete(response);
    timers.pass(100);
    assertThat(puller.config().edition(), equalTo(9L));
  }

  @Test
  void asksFollowAtOnceButTwentyMsApart() {
    puller.start();
    timers.pass(300);
    List<Long> times = links.times(A);
    assertThat(times.subList(0, 2), contains(1_000L, 1_020L));
    assertThat(times, hasSize(2));
    a.setConfig(7, config(7));
    timers.pass(5);
    assertThat(links.times(A), hasSize(3));
    assertThat(links.times(A).get(2), equalTo(1_305L));
  }

  @Test
  void failuresSpreadOut() {
    links.notaries.remove(A);
    puller.start();
    timers.pass(2_000);
    assertThat(links.times(A), contains(1_000L, 1_105L, 1_310L, 1_715L, 2_220L, 2_725L));
    assertThat(puller.failures(), greaterThan(4L));
    assertThat(puller.heardAgoMs(A), equalTo(Long.MAX_VALUE));
    assertThat(puller.heardAgoMs(B), lessThan(1_100L));
  }

  @Test
  void aCutOneWayToOneNotaryLeavesTheOthersWord() {
    puller.start();
    timers.pass(100);
    links.cutBack.add(A);
    a.setServers(1, 1, list("i-1"), timers.now());
    a.setConfig(7, config(7));
    timers.pass(2_500);
    assertThat(puller.config(), nullValue());
    assertThat(puller.heardAgoMs(A), greaterThan(2_400L));
    b.setConfig(7, config(7));
    timers.pass(10);
    assertThat(puller.config().edition(), equalTo(7L));
    assertThat(a.heardWithin(2_000), hasSize(1));
    links.cutBack.clear();
    timers.pass(4_000);
    assertThat(puller.servers(), hasSize(1));
    links.cutThere.add(A);
    timers.pass(4_000);
    assertThat(a.heardWithin(1_500), empty());
    assertThat(b.heardWithin(1_500), hasSize(1));
  }

  @Test
  void whatCannotBeReadIsNotTakenAndNotAskedForInHaste() {
    a.setConfig(7, new byte[] {'{'});
    a.setServers(1, 1, list("i-1"), timers.now());
    b.setConfig(6, config(6));
    links.notaries.remove(C);
    puller.start();
    timers.pass(3_000);
    assertThat(puller.config().edition(), equalTo(6L));
    assertThat(puller.servers(), hasSize(1));
    assertThat(puller.unreadable(), greaterThan(3L));
    assertThat(links.times(A).size(), lessThan(12));
  }

  @Test
  void anotherEditionThanToldIsNotTaken() {
    a.setConfig(9, config(7));
    puller.start();
    timers.pass(500);
    assertThat(puller.config(), nullValue());
    assertThat(puller.unreadable(), greaterThan(0L));
  }

  @Test
  void aListenersFaultDoesNotEndTheAsking() {
    puller.whenChanged(
        () -> {
          throw new IllegalStateException("a listener's fault");
        });
    a.setConfig(7, config(7));
    puller.start();
    timers.pass(500);
    a.setConfig(8, config(8));
    timers.pass(500);
    assertThat(puller.config().edition(), equalTo(8L));
  }

  @Test
  void afterTheCloseNothingIsAsked() {
    puller.start();
    timers.pass(500);
    puller.close();
    int asks = links.sent.size();
    a.setConfig(7, config(7));
    timers.pass(10_000);
    assertThat(links.sent, hasSize(asks));
    assertThat(puller.config(), nullValue());
    assertThat(timers.step(), equalTo(false));
  }
}
