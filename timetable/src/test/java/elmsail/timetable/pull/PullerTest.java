package elmsail.timetable.pull;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.nullValue;

import elmsail.inner.words.PullAsk;
import elmsail.inner.words.PullTold;
import elmsail.inner.words.Seating;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class PullerTest extends PullerRig {
  @Test
  void asksEachSeedAndSaysWhoItIs() {
    puller.start();
    assertThat(puller.asked(), containsInAnyOrder(A, B, C));
    PullAsk ask = links.last(A);
    assertThat(ask.station, equalTo("counter-x-1"));
    assertThat(ask.address, equalTo("10.1.0.13:7720"));
    assertThat(ask.role, equalTo("clerk"));
    assertThat(ask.life, equalTo(77L));
    assertThat(ask.waitMs, equalTo(1_000L));
    assertThat(puller.timetable(), nullValue());
    assertThat(puller.servers(), empty());
    assertThat(puller.listAgeMs(), equalTo(Long.MAX_VALUE));
  }

  @Test
  void aNotaryDoesNotAskItself() {
    Puller notary = puller("notary", Set.of("head_office"), () -> VaultPart.NONE);
    notary.start();
    assertThat(notary.asked(), containsInAnyOrder(B, C));
  }

  @Test
  void aVaultTellsItsPartAsItIsAtEachAsk() {
    List<VaultPart> part = new ArrayList<>(List.of(VaultPart.NONE));
    Puller vault = puller("vault", Set.of("vault"), () -> part.get(0));
    vault.start();
    assertThat(links.last(A).seated, equalTo(false));
    Seating shelf = seating("v:1", 4);
    part.set(0, new VaultPart(true, true, shelf));
    timers.pass(1_100);
    assertThat(links.last(A).seated, equalTo(true));
    assertThat(links.last(A).emptied, equalTo(true));
    assertThat(links.last(A).shelf, equalTo(shelf));
  }

  @Test
  void aChangeIsThereAtOnceAndToldOnce() {
    puller.start();
    timers.pass(300);
    int before = changes;
    for (Sources notary : List.of(a, b, c)) {
      notary.setTimetable(7, timetable(7));
    }
    timers.pass(5);
    assertThat(puller.timetable().edition(), equalTo(7L));
    assertThat(puller.timetableBytes(), equalTo(timetable(7)));
    timers.pass(2_000);
    assertThat(changes, equalTo(before + 1));
  }

  @Test
  void anOlderEditionNeverWins() {
    a.setTimetable(9, timetable(9));
    b.setTimetable(7, timetable(7));
    puller.start();
    timers.pass(100);
    assertThat(puller.timetable().edition(), equalTo(9L));
    c.setTimetable(8, timetable(8));
    links.notary(A).setTimetable(5, timetable(5));
    timers.pass(5_000);
    assertThat(puller.timetable().edition(), equalTo(9L));
    puller.offerTimetable(timetable(8));
    assertThat(puller.timetable().edition(), equalTo(9L));
    puller.offerTimetable(timetable(10));
    assertThat(puller.timetable().edition(), equalTo(10L));
  }

  @Test
  void anOlderEditionThatComesLateIsPassedOver() {
    CompletableFuture<PullTold> late = new CompletableFuture<>();
    links.notaries.put(A, ask -> late);
    b.setTimetable(9, timetable(9));
    puller.start();
    timers.pass(100);
    PullTold told = new PullTold();
    told.edition = 8;
    told.timetable = timetable(8);
    late.complete(told);
    timers.pass(100);
    assertThat(puller.timetable().edition(), equalTo(9L));
  }

  @Test
  void asksFollowAtOnceButTwentyMsApart() {
    puller.start();
    timers.pass(300);
    List<Long> times = links.times(A);
    assertThat(times.subList(0, 2), contains(1_000L, 1_020L));
    assertThat(times, hasSize(2));
    a.setTimetable(7, timetable(7));
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
    a.setTimetable(7, timetable(7));
    timers.pass(2_500);
    assertThat(puller.timetable(), nullValue());
    assertThat(puller.heardAgoMs(A), greaterThan(2_400L));
    b.setTimetable(7, timetable(7));
    timers.pass(10);
    assertThat(puller.timetable().edition(), equalTo(7L));
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
    a.setTimetable(7, new byte[] {'{'});
    a.setServers(1, 1, list("i-1"), timers.now());
    b.setTimetable(6, timetable(6));
    links.notaries.remove(C);
    puller.start();
    timers.pass(3_000);
    assertThat(puller.timetable().edition(), equalTo(6L));
    assertThat(puller.servers(), hasSize(1));
    assertThat(puller.unreadable(), greaterThan(3L));
    assertThat(links.times(A).size(), lessThan(12));
  }

  @Test
  void anotherEditionThanToldIsNotTaken() {
    a.setTimetable(9, timetable(7));
    puller.start();
    timers.pass(500);
    assertThat(puller.timetable(), nullValue());
    assertThat(puller.unreadable(), greaterThan(0L));
  }

  @Test
  void aListenersFaultDoesNotEndTheAsking() {
    puller.whenChanged(() -> {
      throw new IllegalStateException("a listener's fault");
    });
    a.setTimetable(7, timetable(7));
    puller.start();
    timers.pass(500);
    a.setTimetable(8, timetable(8));
    timers.pass(500);
    assertThat(puller.timetable().edition(), equalTo(8L));
  }

  @Test
  void afterTheCloseNothingIsAsked() {
    puller.start();
    timers.pass(500);
    puller.close();
    int asks = links.sent.size();
    a.setTimetable(7, timetable(7));
    timers.pass(10_000);
    assertThat(links.sent, hasSize(asks));
    assertThat(puller.timetable(), nullValue());
    assertThat(timers.step(), equalTo(false));
  }
}
