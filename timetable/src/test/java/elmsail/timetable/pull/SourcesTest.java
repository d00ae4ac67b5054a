package elmsail.timetable.pull;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import elmsail.inner.words.PullAsk;
import elmsail.inner.words.PullTold;
import elmsail.inner.words.Roster;
import elmsail.rehearsal.HandTimers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class SourcesTest {
  private static final byte[] FIVE = {5};
  private static final byte[] SEVEN = {7};
  private final HandTimers timers = new HandTimers();
  private final Sources sources = new Sources(timers);

  private static PullAsk ask(String station, long waitMs) {
    PullAsk ask = new PullAsk();
    ask.station = station;
    ask.role = "clerk";
    ask.waitMs = waitMs;
    return ask;
  }

  /** An ask that has all there is. */
  private PullAsk upToDate(String station, long waitMs) {
    PullTold all = sources.ask(ask(station, 0)).join();
    PullAsk ask = ask(station, waitMs);
    ask.edition = all.edition;
    ask.listEpoch = all.listEpoch;
    ask.listVersion = all.listVersion;
    ask.rosterVersion = all.rosterVersion;
    return ask;
  }

  @Test
  void tellsAtOnceWhatIsNewer() {
    sources.setTimetable(5, FIVE);
    sources.setServers(1, 1, SEVEN, timers.now() - 300);
    CompletableFuture<PullTold> answer = sources.ask(ask("c-1", 1_000));
    assertThat(answer.isDone(), equalTo(true));
    PullTold told = answer.join();
    assertThat(told.edition, equalTo(5L));
    assertThat(told.timetable, equalTo(FIVE));
    assertThat(told.servers, equalTo(SEVEN));
    assertThat(told.listAgeMs, equalTo(300L));
    assertThat(told.roster, notNullValue());
  }

  @Test
  void holdsUntilTheWaitIsOverAndTellsOnlyTheAge() {
    sources.setTimetable(5, FIVE);
    sources.setServers(1, 1, SEVEN, timers.now());
    CompletableFuture<PullTold> answer = sources.ask(upToDate("c-1", 1_000));
    timers.pass(999);
    assertThat(answer.isDone(), equalTo(false));
    timers.pass(1);
    PullTold told = answer.join();
    assertThat(told.timetable, nullValue());
    assertThat(told.servers, nullValue());
    assertThat(told.roster, nullValue());
    assertThat(told.edition, equalTo(5L));
    assertThat(told.listAgeMs, equalTo(1_000L));
    assertThat(sources.held(), equalTo(0));
  }

  @Test
  void aChangeReleasesThoseItIsNewTo() {
    CompletableFuture<PullTold> lacks = sources.ask(upToDate("c-1", 1_000));
    PullAsk ahead = upToDate("c-2", 1_000);
    ahead.edition = 6;
    CompletableFuture<PullTold> has = sources.ask(ahead);
    timers.pass(400);
    sources.setTimetable(5, FIVE);
    timers.pass(0);
    assertThat(lacks.join().timetable, equalTo(FIVE));
    assertThat(has.isDone(), equalTo(false));
    sources.setTimetable(7, SEVEN);
    timers.pass(0);
    assertThat(has.join().timetable, equalTo(SEVEN));
    assertThat(timers.step(), equalTo(false));
  }

  @Test
  void changesOfOneMomentAreToldTogether() {
    CompletableFuture<PullTold> answer = sources.ask(upToDate("c-1", 1_000));
    sources.setTimetable(5, FIVE);
    sources.setServers(1, 1, SEVEN, timers.now());
    timers.pass(0);
    assertThat(answer.join().timetable, equalTo(FIVE));
    assertThat(answer.join().servers, equalTo(SEVEN));
  }

  @Test
  void nothingOlderIsTakenOver() {
    sources.setTimetable(7, SEVEN);
    sources.setTimetable(5, FIVE);
    sources.setTimetable(7, FIVE);
    sources.setServers(2, 1, SEVEN, timers.now());
    sources.setServers(1, 9, FIVE, timers.now());
    PullTold told = sources.ask(ask("c-1", 0)).join();
    assertThat(told.timetable, equalTo(SEVEN));
    assertThat(told.servers, equalTo(SEVEN));
    assertThat(told.listEpoch, equalTo(2L));
  }

  @Test
  void theSameListAgainOnlyMakesItYounger() {
    sources.setServers(1, 1, SEVEN, timers.now());
    CompletableFuture<PullTold> answer = sources.ask(upToDate("c-1", 1_000));
    timers.pass(600);
    sources.setServers(1, 1, SEVEN, timers.now());
    timers.pass(0);
    assertThat(answer.isDone(), equalTo(false));
    timers.pass(400);
    assertThat(answer.join().listAgeMs, equalTo(400L));
  }

  @Test
  void anAskerAheadOfThisNotaryIsNotToldWhatIsOld() {
    sources.setTimetable(5, FIVE);
    sources.setServers(1, 8, SEVEN, timers.now());
    PullAsk ahead = upToDate("c-1", 1_000);
    ahead.edition = 9;
    ahead.listEpoch = 2;
    ahead.listVersion = 1;
    CompletableFuture<PullTold> answer = sources.ask(ahead);
    assertThat(answer.isDone(), equalTo(false));
    timers.pass(1_000);
    assertThat(answer.join().timetable, nullValue());
    assertThat(answer.join().servers, nullValue());
  }

  @Test
  void rostersAreMadeForTheAskerAndToldWhenTheyChange() {
    sources.setRoster(ask -> {
      Roster roster = new Roster();
      roster.claimSeat = ask.station.equals("v-2") ? 1 : -1;
      return roster;
    });
    timers.pass(0);
    CompletableFuture<PullTold> one = sources.ask(upToDate("v-1", 1_000));
    CompletableFuture<PullTold> two = sources.ask(upToDate("v-2", 1_000));
    timers.pass(10);
    assertThat(one.isDone(), equalTo(false));
    sources.rosterChanged();
    timers.pass(0);
    assertThat(one.join().roster.claimSeat, equalTo(-1));
    assertThat(two.join().roster.claimSeat, equalTo(1));
  }

  @Test
  void aRosterVersionOfAnotherLifeIsAnsweredWithTheRoster() {
    PullAsk other = upToDate("c-1", 1_000);
    other.rosterVersion += 100_000;
    assertThat(sources.ask(other).join().roster, notNullValue());
    timers.pass(5);
    assertThat(new Sources(timers).ask(ask("c-1", 0)).join().rosterVersion,
        not(equalTo(sources.ask(ask("c-1", 0)).join().rosterVersion)));
  }

  @Test
  void anAskersSecondAskEndsItsFirst() {
    CompletableFuture<PullTold> first = sources.ask(upToDate("c-1", 1_000));
    CompletableFuture<PullTold> second = sources.ask(upToDate("c-1", 1_000));
    assertThat(first.isDone(), equalTo(true));
    assertThat(second.isDone(), equalTo(false));
    assertThat(sources.held(), equalTo(1));
    timers.pass(1_000);
    assertThat(second.isDone(), equalTo(true));
  }

  @Test
  void noMoreThanTwoThousandAreHeld() {
    List<CompletableFuture<PullTold>> answers = new ArrayList<>();
    for (int i = 0; i < 2_001; i++) {
      answers.add(sources.ask(upToDate("c-" + i, 1_000)));
    }
    assertThat(sources.held(), equalTo(2_000));
    assertThat(answers.get(1_999).isDone(), equalTo(false));
    assertThat(answers.get(2_000).isDone(), equalTo(true));
  }

  @Test
  void aWaitIsNeverLongerThanTenSeconds() {
    CompletableFuture<PullTold> answer = sources.ask(upToDate("c-1", Long.MAX_VALUE));
    timers.pass(10_000);
    assertThat(answer.isDone(), equalTo(true));
  }

  @Test
  void remembersWhoWasHeardOfAndWhen() {
    List<Long> calls = new ArrayList<>();
    sources.whenHeard(() -> calls.add(timers.now()));
    PullAsk vault = ask("v-1", 0);
    vault.role = "vault";
    vault.life = 9;
    vault.address = "10.0.0.1:7720";
    sources.ask(vault);
    timers.pass(500);
    sources.ask(ask("c-1", 0));
    timers.pass(500);
    sources.ask(vault);
    timers.pass(100);
    assertThat(calls, hasSize(2));
    assertThat(sources.heardWithin(100), contains(new Heard("v-1", "10.0.0.1:7720", "", "vault", 9, false,
        false, vault.shelf, timers.now() - 100)));
    assertThat(sources.heardWithin(600), hasSize(2));
    vault.life = 10;
    sources.ask(vault);
    timers.pass(0);
    assertThat(calls, hasSize(3));
    assertThat(sources.heardWithin(0).get(0).life(), equalTo(10L));
  }

  @Test
  void theOldestHeardOfGivesWay() {
    for (int i = 0; i < 4_005; i++) {
      sources.ask(ask("c-" + i, 0));
    }
    assertThat(sources.heardWithin(1), hasSize(4_000));
  }
}
